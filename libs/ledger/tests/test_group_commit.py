"""Tests of group commit with real threads."""

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from fireflyhitch_ledger.results import Claimed
from fireflyhitch_ledger.workers import Workers
from fireflyhitch_model.clock import SystemClock


class TestGroupCommit:
    """Operations that wait together are written together."""

    def test_operations_that_wait_share_one_write(self, make_cluster):
        """One write is under way while others come for the same shard.

        They wait for it and then go out in one write, instead of one each.
        """
        cluster = make_cluster(SystemClock(), shards=1, writes_per_second=1000.0)
        owner = cluster.rank(cluster.key())[0]
        started, release = threading.Event(), threading.Event()

        def hold_first_write(operation):
            if operation == 'put_if' and not started.is_set():
                started.set()
                release.wait(10)

        cluster.store.faults.before(hold_first_write)
        with ThreadPoolExecutor(12) as pool:
            first = pool.submit(cluster.claim, owner, cluster.key('first'))
            started.wait(10)
            keys = [cluster.key(f'k{number}') for number in range(10)]
            rest = [pool.submit(cluster.claim, owner, key) for key in keys]
            committer = cluster.ledgers[owner]._committers[0]
            while len(committer._queue) < len(keys):
                started.wait(0.001)
            release.set()
            results = [one.result() for one in (first, *rest)]
        assert all(isinstance(result, Claimed) for result in results)
        assert cluster.store.calls['put_if'] == 2

    def test_one_of_many_concurrent_claims_wins(self, make_cluster):
        """Callers post one key to three daemons at once, over live threads.

        The owner commits for two of them; whoever comes first gets the claim,
        and everybody else is told that the call is in progress.
        """
        cluster = make_cluster(SystemClock(), shards=2)
        for name in cluster.names:
            cluster.ledgers[name].start()
        with ThreadPoolExecutor(12) as pool:
            claims = [
                pool.submit(cluster.claim, daemon, cluster.key(f'k{number}'))
                for number in range(20)
                for daemon in cluster.names
            ]
            results = [one.result() for one in claims]
        for ledger in cluster.ledgers.values():
            ledger.stop()
        kinds = Counter(type(result).__name__ for result in results)
        assert kinds == {'Claimed': 20, 'InProgress': 40}


class TestWorkers:
    """Threads that no caller waits in."""

    def test_failing_work_does_not_end_its_thread(self):
        workers = Workers(1, SystemClock())
        workers.start(lambda: None, timedelta(seconds=60))
        done = threading.Event()
        workers.submit(threading.Lock().release)
        workers.submit(done.set)
        assert done.wait(10)
        workers.stop()
