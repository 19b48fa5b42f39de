"""Tests of a move's evidence and shares at one daemon."""

from fireflyhitch_model.ids import DeploymentId, Revision
from fireflyhitch_rollout.short_moves import MoveEnd
from fireflyhitch_serving.moves import MoveOrder, MoveTracker
from fireflyhitch_serving.versions import VersionShares

PLANNING = DeploymentId('planning')
ORDER = MoveOrder(PLANNING, 'v2', 60, Revision(9))


def make_running() -> tuple[MoveTracker, VersionShares]:
    """Return a book with a move that has begun beside a good old version."""
    shares = VersionShares()
    book = MoveTracker(shares, 0.1)
    book.apply_order(ORDER)
    book.apply_record(
        PLANNING, b'{"order": 9, "began": 99.0, "end": null}', Revision(10)
    )
    for _ in range(40):
        book.count(PLANNING, 'v1', 'r', failed=False, seconds=0.1)
    return book, shares


class TestVerdict:
    def test_a_daemon_withdraws_with_the_answer_that_proves_it(self) -> None:
        # A new version fails at a busy daemon. The answer that makes the evidence
        # enough closes it at once, not the next of the looks a quarter second apart.
        book, shares = make_running()
        given = 0
        for _ in range(100):
            move = shares.find(PLANNING)
            if move is not None and not move.share:
                break
            given += 1
            book.count(PLANNING, 'v2', 'r', failed=True, seconds=0.1)
        assert given < 6

    def test_what_peers_saw_counts_as_well(self) -> None:
        book, shares = make_running()
        book.update_peer_evidence('peer', {'planning|9|v2|r': [5, 5, 0]})
        book.apply(PLANNING)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share == 0

    def test_evidence_of_an_earlier_order_does_not_count(self) -> None:
        book, shares = make_running()
        book.update_peer_evidence('peer', {'planning|3|v2|r': [5, 5, 0]})
        book.apply(PLANNING)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share > 0


class TestShares:
    def test_nothing_is_given_before_the_move_is_recorded(self) -> None:
        shares = VersionShares()
        book = MoveTracker(shares, 0.1)
        book.apply_order(ORDER)
        move = shares.find(PLANNING)
        assert move is not None
        assert move.share == 0

    def test_a_completed_move_gives_all_and_one_taken_back_nothing(self) -> None:
        for end, share in ((MoveEnd.COMPLETED, 1), (MoveEnd.ROLLED_BACK, 0)):
            book, shares = make_running()
            record = f'{{"order": 9, "began": 99.0, "end": "{end.value}"}}'
            book.apply_record(PLANNING, record.encode(), Revision(11))
            move = shares.find(PLANNING)
            assert move is not None
            assert move.share == share


class TestEndedMoves:
    def test_evidence_of_an_ended_move_is_not_told_any_more(self) -> None:
        # Counts went out in each message for ever, a few more with each move, until
        # the messages would have been too large for a datagram.
        book, _ = make_running()
        book.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert book.evidence()
        book.apply_record(
            PLANNING, b'{"order": 9, "began": 99.0, "end": "completed"}', Revision(11)
        )
        book.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert not book.evidence()

    def test_a_later_order_counts_anew(self) -> None:
        book, _ = make_running()
        book.apply_order(MoveOrder(PLANNING, 'v3', 60, Revision(20)))
        book.count(PLANNING, 'v2', 'r', failed=False, seconds=0.1)
        assert list(book.evidence()) == ['planning|20|v2|r']

    def test_processes_without_evidence_are_not_kept(self) -> None:
        # Every process of a peer tells its counts, mostly none. Each was remembered
        # for as long as this one lives, and added up with each untried answer.
        book, _ = make_running()
        book.update_peer_evidence('early', {'planning|9|v2|r': [1, 0, 0]})
        for number in range(500):
            book.update_peer_evidence(f'd{number}', {})
        assert book.count_reporters() == 1
        book.update_peer_evidence('early', {})
        assert not book.count_reporters()
