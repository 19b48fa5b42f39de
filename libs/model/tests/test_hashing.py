"""Tests of rendezvous hashing."""

from fireflyhitch_model.hashing import rank_by_hash

MEMBERS = [f'daemon-{number}' for number in range(20)]


class TestRankByHash:
    """Assignment of keys to members."""

    def test_order_of_members_makes_no_difference(self):
        assert rank_by_hash('key', MEMBERS) == rank_by_hash(
            'key', list(reversed(MEMBERS))
        )

    def test_removed_member_moves_only_its_own_keys(self):
        keys = [f'key-{number}' for number in range(500)]
        before = {key: rank_by_hash(key, MEMBERS)[0] for key in keys}
        after = {key: rank_by_hash(key, MEMBERS[1:])[0] for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        assert moved
        assert all(before[key] == MEMBERS[0] for key in moved)
