"""Tests of the subset of replicas that a daemon uses."""

from collections import Counter

from fireflyhitch_routing.subset import choose_subset

DAEMONS = [f'daemon-{number}' for number in range(42)]
REPLICAS = [f'replica-{number}' for number in range(526)]


def choose_all(daemons, replicas):
    return {one: choose_subset(one, daemons, replicas) for one in daemons}


class TestSubset:
    """Even cover, and little churn."""

    def test_few_replicas_are_all_used(self):
        assert choose_subset('daemon-1', DAEMONS, REPLICAS[:9]) == set(REPLICAS[:9])

    def test_same_on_every_daemon_whatever_the_order(self):
        replicas = REPLICAS[:60]
        one = choose_subset('daemon-1', DAEMONS, replicas)
        assert one == choose_subset('daemon-1', sorted(DAEMONS), sorted(replicas))

    def test_every_replica_is_covered_evenly(self):
        subsets = choose_all(DAEMONS[:14], REPLICAS[:175])
        cover = Counter(replica for subset in subsets.values() for replica in subset)
        assert len(cover) == 175
        assert max(cover.values()) == 3
        assert sum(cover.values()) >= 0.98 * 3 * 175

    def test_loss_of_a_daemon_moves_little_of_the_others(self):
        before = choose_all(DAEMONS[:14], REPLICAS[:175])
        after = choose_all(DAEMONS[1:14], REPLICAS[:175])
        lost = sum(len(before[one] - after[one]) for one in after)
        kept = sum(len(before[one]) for one in after)
        assert lost / kept < 0.1

    def test_loss_of_a_replica_moves_little(self):
        before = choose_all(DAEMONS[:14], REPLICAS[:175])
        after = choose_all(DAEMONS[:14], REPLICAS[1:175])
        lost = sum(len(before[one] - after[one]) for one in after)
        assert lost < 20
