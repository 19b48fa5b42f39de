"""Tests of a move's evidence and traffic shares at one daemon."""

import pytest

from fireflyhitch_model.eras import make_revision
from fireflyhitch_model.ids import DeploymentId, Revision, StoreEra
from fireflyhitch_rollout.short_moves import MoveEnd
from fireflyhitch_serving.move_orders import MoveOrder
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.versions import VersionShares

PLANNING = DeploymentId('planning')
ORDER = MoveOrder(PLANNING, 'v2', 60, Revision(9))


def make_running_move() -> tuple[MoveTracker, VersionShares]:
    """Return a tracker with a running move from a healthy version, and the shares."""
    shares = VersionShares()
    tracker = MoveTracker(shares, 0.1)
    tracker.apply_order(ORDER)
    tracker.apply_record(
        PLANNING, b'{"order": 9, "began": 99.0, "end": null}', Revision(10)
    )
    for _ in range(40):
        tracker.count(PLANNING, 'v1', 'r', failed=False, seconds=0.1)
    return tracker, shares


class TestVerdict:
    def test_a_version_is_withdrawn_with_the_response_that_completes_the_evidence(
        self,
    ) -> None:
        # The new version fails at a busy daemon. The response that completes the
        # evidence must withdraw it at once: the periodic check runs only every 0.25 s.
        tracker, shares = make_running_move()
        sent = 0
        for _ in range(100):
            move = shares.find(PLANNING)
            if move is not None and not move.share:
                break
            sent += 1
            tracker.count(PLANNING, 'v2', 'r', failed=True, seconds=0.1)
        assert sent < 6

    def test_evidence_from_peers_counts(self) -> None:
        tracker, shares = make_running_move()
        tracker.update_peer_evidence('peer', {'planning|9|v2|r': [5, 5, 0]})
        tracker.apply(PLANNING)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share == 0

    def test_evidence_of_an_earlier_order_does_not_count(self) -> None:
        tracker, shares = make_running_move()
        tracker.update_peer_evidence('peer', {'planning|3|v2|r': [5, 5, 0]})
        tracker.apply(PLANNING)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share > 0


class TestShares:
    def test_a_new_version_gets_no_traffic_before_the_move_is_recorded(self) -> None:
        shares = VersionShares()
        tracker = MoveTracker(shares, 0.1)
        tracker.apply_order(ORDER)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share == 0

    def test_a_new_version_gets_all_traffic_once_completed_and_none_once_rolled_back(
        self,
    ) -> None:
        for end, share in ((MoveEnd.COMPLETED, 1), (MoveEnd.ROLLED_BACK, 0)):
            tracker, shares = make_running_move()
            record = f'{{"order": 9, "began": 99.0, "end": "{end.value}"}}'
            tracker.apply_record(PLANNING, record.encode(), Revision(11))
            move = shares.find(PLANNING)
            assert move is not None
            assert move.share == share


class TestEndedMoves:
    def test_evidence_of_an_ended_move_is_no_longer_sent(self) -> None:
        # Counts of ended moves stayed in each message and grew with each move, until
        # messages would have been too large for a datagram.
        tracker, _ = make_running_move()
        tracker.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert tracker.evidence()
        tracker.apply_record(
            PLANNING, b'{"order": 9, "began": 99.0, "end": "completed"}', Revision(11)
        )
        tracker.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert not tracker.evidence()

    def test_a_later_order_restarts_the_counts(self) -> None:
        tracker, _ = make_running_move()
        tracker.apply_order(MoveOrder(PLANNING, 'v3', 60, Revision(20)))
        tracker.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert list(tracker.evidence()) == ['planning|20|v2|r']

    def test_processes_without_evidence_are_not_kept(self) -> None:
        # Every peer process reports its counts, which are mostly empty. All were kept for
        # the lifetime of this process and summed for each response of a new version.
        tracker, _ = make_running_move()
        tracker.update_peer_evidence('early', {'planning|9|v2|r': [1, 0, 0]})
        for number in range(500):
            tracker.update_peer_evidence(f'd{number}', {})
        assert tracker.count_reporters() == 1
        tracker.update_peer_evidence('early', {})
        assert not tracker.count_reporters()


RUNNING = b'{"order": 9, "began": 99.0, "end": null}'
COMPLETED = b'{"order": 9, "began": 99.0, "end": "completed"}'


def make_completed_move() -> tuple[MoveTracker, VersionShares]:
    """Return a tracker with a completed move, and the shares."""
    tracker, shares = make_running_move()
    tracker.apply_record(PLANNING, COMPLETED, Revision(11))
    return tracker, shares


def restored(number: int) -> Revision:
    """Return a revision of the era after a restore."""
    return make_revision(StoreEra(1), number)


def find_share(shares: VersionShares) -> float:
    """Return the share of requests that the service's ordered version gets."""
    found = shares.find(PLANNING)
    assert found is not None
    return found.share


class TestRestore:
    @pytest.mark.parametrize('value', [None, RUNNING])
    def test_a_completed_move_stays_completed(self, value: bytes | None) -> None:
        """A copy of before the end sent requests to servers that had been stopped."""
        tracker, shares = make_completed_move()
        tracker.apply_record(PLANNING, value, restored(10))
        tracker.apply(PLANNING)
        assert find_share(shares) == 1
        assert not tracker.find(PLANNING).is_stored

    def test_an_order_that_is_written_again_does_not_begin_anew(self) -> None:
        """Guards against a second move for what the operators write again."""
        tracker, shares = make_completed_move()
        again = MoveOrder(PLANNING, 'v2', 60, restored(6))
        tracker.apply_order(again, is_rewritten=True)
        tracker.apply(PLANNING)
        assert find_share(shares) == 1
        assert tracker.find(PLANNING).record.order == 6
        assert not tracker.find(PLANNING).is_stored

    def test_an_earlier_order_of_the_copy_changes_nothing(self) -> None:
        tracker, shares = make_completed_move()
        tracker.apply_order(MoveOrder(PLANNING, 'v3', 60, Revision(20)))
        tracker.apply_order(MoveOrder(PLANNING, 'v2', 60, restored(9)))
        order = tracker.find(PLANNING).order
        assert order is not None
        assert order.target == 'v3'
        assert not find_share(shares)

    def test_an_order_as_before_but_later_is_a_new_one(self) -> None:
        """An operator may order again what was rolled back."""
        tracker, shares = make_completed_move()
        tracker.apply_order(MoveOrder(PLANNING, 'v2', 60, restored(40)))
        assert not tracker.find(PLANNING).has_begun
        assert not find_share(shares)

    def test_a_record_of_the_copy_does_not_replace_what_was_written_again(self) -> None:
        """Orders and records are told apart, so the copy's record may come last."""
        tracker, shares = make_completed_move()
        tracker.apply_record(PLANNING, COMPLETED, restored(30))
        tracker.apply_record(PLANNING, RUNNING, restored(10))
        tracker.apply(PLANNING)
        assert find_share(shares) == 1

    def test_a_new_process_reads_records_of_an_earlier_era(self) -> None:
        shares = VersionShares()
        tracker = MoveTracker(shares, 0.1)
        tracker.apply_order(MoveOrder(PLANNING, 'v2', 60, restored(9)))
        tracker.apply_record(PLANNING, COMPLETED, restored(11))
        assert find_share(shares) == 1

    def test_another_order_with_the_same_number_is_a_new_one(self) -> None:
        """An order that got a number again had ended before it began."""
        tracker, shares = make_completed_move()
        tracker.apply_order(MoveOrder(PLANNING, 'v3', 60, restored(9)))
        assert not tracker.find(PLANNING).has_begun
        assert not find_share(shares)

    def test_a_withdrawn_version_does_not_withdraw_the_next_one(self) -> None:
        """An order that got a number again was withdrawn with the earlier one."""
        tracker, _ = make_running_move()
        tracker.update_peer_evidence('peer', {'planning|9|v2|r': [5, 5, 0]})
        tracker.apply(PLANNING)
        assert tracker.find(PLANNING).is_withdrawn
        tracker.apply_order(MoveOrder(PLANNING, 'v3', 60, restored(9)))
        assert not tracker.find(PLANNING).is_withdrawn

    def test_a_record_of_a_leader_that_knew_less_is_not_used(self) -> None:
        """The second record of an era replaced what daemons remembered of the end."""
        tracker, shares = make_completed_move()
        tracker.apply_record(PLANNING, None, restored(7))
        tracker.apply_record(PLANNING, RUNNING, restored(10))
        tracker.apply(PLANNING)
        assert find_share(shares) == 1
        assert not tracker.find(PLANNING).is_stored

    def test_the_record_of_a_new_order_may_come_before_the_order(self) -> None:
        """Orders and records are told apart; the leader hears of orders first."""
        tracker, shares = make_completed_move()
        record = COMPLETED.replace(b'9', b'12', 1)
        tracker.apply_record(PLANNING, record, restored(14))
        assert find_share(shares) == 1
        tracker.apply_order(MoveOrder(PLANNING, 'v3', 60, restored(12)))
        assert tracker.find(PLANNING).is_stored
        assert tracker.find(PLANNING).has_ended
        assert find_share(shares) == 1
