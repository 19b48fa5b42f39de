"""Tests of the subset of replicas that a daemon uses."""

from collections import Counter

from fireflyhitch_routing.subset import choose_subset

DAEMONS = [f'daemon-{number}' for number in range(42)]
REPLICAS = [f'replica-{number}' for number in range(526)]


def choose_all(daemons, replicas):
    return {one: choose_subset(one, daemons, replicas) for one in daemons}


class TestSubset:
    """Even coverage and little churn."""

    def test_uses_all_of_few_replicas(self):
        assert choose_subset('daemon-1', DAEMONS, REPLICAS[:9]) == set(REPLICAS[:9])

    def test_result_does_not_depend_on_the_order(self):
        replicas = REPLICAS[:60]
        one = choose_subset('daemon-1', DAEMONS, replicas)
        assert one == choose_subset('daemon-1', sorted(DAEMONS), sorted(replicas))

    def test_replicas_are_covered_evenly(self):
        subsets = choose_all(DAEMONS[:14], REPLICAS[:175])
        coverage = Counter(replica for subset in subsets.values() for replica in subset)
        assert len(coverage) == 175
        assert max(coverage.values()) == 3
        assert sum(coverage.values()) >= 0.98 * 3 * 175

    def test_loss_of_a_daemon_changes_little_for_the_others(self):
        before = choose_all(DAEMONS[:14], REPLICAS[:175])
        after = choose_all(DAEMONS[1:14], REPLICAS[:175])
        lost = sum(len(before[one] - after[one]) for one in after)
        kept = sum(len(before[one]) for one in after)
        assert lost / kept < 0.1

    def test_loss_of_a_replica_changes_little(self):
        before = choose_all(DAEMONS[:14], REPLICAS[:175])
        after = choose_all(DAEMONS[:14], REPLICAS[1:175])
        lost = sum(len(before[one] - after[one]) for one in after)
        assert lost < 20
