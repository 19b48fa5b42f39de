"""Tests of group commit with real threads."""

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from fireflyhitch_ledger.results import Claimed
from fireflyhitch_ledger.workers import Workers
from fireflyhitch_model.clock import SystemClock


class TestGroupCommit:
    """Queued operations share a write."""

    def test_queued_operations_share_one_write(self, make_cluster):
        """Operations arrive for a shard during a write.

        They must wait and then be committed in one write, not in one each.
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
        """Callers claim the same key at three daemons concurrently.

        The owner commits for two of the daemons. One caller must get the claim
        and all others ``InProgress``.
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
    """Background threads."""

    def test_failing_work_does_not_stop_its_thread(self):
        workers = Workers(1, SystemClock())
        workers.start(lambda: None, timedelta(seconds=60))
        done = threading.Event()
        workers.submit(threading.Lock().release)
        workers.submit(done.set)
        assert done.wait(10)
        workers.stop()
