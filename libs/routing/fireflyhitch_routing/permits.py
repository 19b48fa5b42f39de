"""Permits that divide a rate among daemons without a message per request.

Time is divided into slots. A rate yields a number of permits per slot. A hash of server
process, slot and daemon assigns each permit to one daemon: all daemons compute the same
assignment, so the total stays within the rate for any number of daemons. Daemons that
temporarily disagree on the list of daemons still agree on most permits.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cachetools import LRUCache

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import ProcessId
from fireflyhitch_model.records import immutable

# Odd, with set bits spread over the word: a product's upper bits depend on all bits.
MULTIPLIER = 0x9E3779B97F4A7C15
MASK = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True)
class PermitAccount:
    """This daemon's permits for one server process.

    :param slot: the slot that ``permits`` are for.
    :param used: used permits of the slot; they stay used when the rate changes.
    :param carried_over: unused permits of the previous slot.
    """

    slot: int = -1
    permits: int = 0
    used: int = 0
    carried_over: int = 0

    @property
    def left(self) -> int:
        """Return how many permits of the slot are left."""
        return max(self.permits - self.used, 0)

    def count(self) -> int:
        """Return how many requests may be sent now."""
        return self.left + self.carried_over

    def use_permit(self) -> None:
        """Use the permit that expires first."""
        if self.carried_over:
            self.carried_over -= 1
        else:
            self.used += 1


class PermitAccounts:
    """This daemon's permits by server process; those unused for longest are dropped."""

    def __init__(self, max_accounts: int) -> None:
        """Create no account yet."""
        self._accounts: LRUCache[ProcessId, PermitAccount] = LRUCache(max_accounts)

    def find(self, process: ProcessId) -> PermitAccount:
        """Return a server process's account, an empty one if it had none."""
        account = self._accounts.get(process)
        if account is None:
            account = PermitAccount()
            self._accounts[process] = account
        return account

    def use_permit(self, process: ProcessId) -> None:
        """Use one of a server process's permits, if it has any."""
        account = self._accounts.get(process)
        if account is not None and account.count() > 0:
            account.use_permit()


@immutable
class SlotRules:
    """How permits are issued.

    :param seconds: length of a slot.
    :param carries_over: whether an unused permit stays valid for one more slot, so that
        a daemon with few requests a second can use it.
    """

    seconds: float
    carries_over: bool


class PermitAllocator:
    """Computes this daemon's permits."""

    def __init__(
        self,
        daemon_id: str,
        list_daemons: Callable[[], Sequence[str]],
        wall_clock: Callable[[], float],
        rules: SlotRules,
    ) -> None:
        """Create an allocator.

        :param daemon_id: this daemon.
        :param list_daemons: returns all daemons that may send, this one included; an
            empty list means that they are unknown, and there are no permits.
        :param wall_clock: returns seconds since 1970, agreed among the daemons.
        """
        self._daemon_id = daemon_id
        self._list_daemons = list_daemons
        self._wall_clock = wall_clock
        self._rules = rules
        self._hashes: dict[str, int] = {}

    def find_slot(self) -> int:
        """Return the number of the current slot."""
        return int(self._wall_clock() // self._rules.seconds)

    def find_seconds_to_next_slot(self) -> float:
        """Return the seconds until the permits of another slot are issued."""
        return self._rules.seconds - self._wall_clock() % self._rules.seconds

    def advance(self, account: PermitAccount, process: ProcessId, rate: float) -> None:
        """Issue the permits of the current slot, unless that is done.

        :param rate: requests a second from all daemons together.
        """
        slot = self.find_slot()
        if slot == account.slot:
            return
        carries_over = self._rules.carries_over and slot == account.slot + 1
        account.carried_over = account.left if carries_over else 0
        account.slot = slot
        account.used = 0
        account.permits = self._count_permits(process, rate, slot)

    def update_rate(
        self, account: PermitAccount, process: ProcessId, rate: float
    ) -> None:
        """Apply a changed rate to the account's slot."""
        if account.slot < 0:
            return
        account.permits = self._count_permits(process, rate, account.slot)
        account.carried_over = min(account.carried_over, account.permits)

    def find_local_rate(self, rate: float) -> float:
        """Return the requests a second that this daemon may send on average."""
        daemons = len(self._list_daemons())
        return rate / daemons if daemons else 0

    def _count_permits(self, process: ProcessId, rate: float, slot: int) -> int:
        """Return how many of a slot's permits are this daemon's."""
        per_slot = rate * self._rules.seconds
        permits = math.floor((slot + 1) * per_slot) - math.floor(slot * per_slot)
        daemons = self._list_daemons()
        if not permits or not daemons:
            return 0
        each, remainder = divmod(permits, len(daemons))
        key = hash_text(f'{process}/{slot}')
        return each + (remainder > 0 and self._rank_daemon(daemons, key) < remainder)

    def _rank_daemon(self, daemons: Sequence[str], key: int) -> int:
        """Return how many daemons rank before this one in a slot."""
        local_hash = _mix(self._hash_daemon(self._daemon_id), key)
        return sum(
            _mix(self._hash_daemon(daemon), key) < local_hash
            for daemon in daemons
            if daemon != self._daemon_id
        )

    def _hash_daemon(self, daemon: str) -> int:
        daemon_hash = self._hashes.get(daemon)
        if daemon_hash is None:
            daemon_hash = hash_text(daemon)
            self._hashes[daemon] = daemon_hash
        return daemon_hash


def _mix(daemon_hash: int, key: int) -> int:
    return (daemon_hash ^ key) * MULTIPLIER & MASK
