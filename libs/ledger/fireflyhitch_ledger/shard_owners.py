"""Which daemon commits a shard for the others."""

from threading import Lock

from cachetools import TTLCache

from fireflyhitch_ledger.keys import Shard
from fireflyhitch_ledger.settings import LedgerSettings
from fireflyhitch_ledger.write_limiter import WriteRateLimiter
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import PeerMessenger

MAX_UNRESPONSIVE = 1024


class ShardOwners:
    """Each shard's owner: the first by hash among the live daemons.

    Daemons may disagree on who is live. Then two of them write one shard, one
    of the writes conflicts, and all that is lost is efficiency.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        messenger: PeerMessenger,
        clock: Clock,
        write_limiter: WriteRateLimiter,
        settings: LedgerSettings,
    ) -> None:
        self._daemon_id = daemon_id
        self._messenger = messenger
        self._write_limiter = write_limiter
        self._settings = settings
        self._lock = Lock()
        self._live: frozenset[DaemonId] = frozenset()
        self._owners: tuple[DaemonId, ...] = ()
        self._unresponsive: TTLCache[DaemonId, bool] = TTLCache(
            MAX_UNRESPONSIVE,
            settings.unresponsive_time.total_seconds(),
            clock.monotonic,
        )

    def find(self, shard: Shard) -> DaemonId | None:
        """Return the daemon to ask.

        :returns: ``None`` if this daemon is to commit by itself, as the owner
            or because the owner was out of reach a moment ago.
        """
        live = frozenset(daemon.daemon_id for daemon in self._messenger.live())
        with self._lock:
            if live != self._live or not self._owners:
                self._assign(live)
            owner = self._owners[shard]
            if owner == self._daemon_id or owner in self._unresponsive:
                return None
            return owner

    def mark_unresponsive(self, owner: DaemonId) -> None:
        """Pass over an owner for a while.

        Else each call would wait for a dead owner until membership finds out.
        """
        with self._lock:
            self._unresponsive[owner] = True

    def _assign(self, live: frozenset[DaemonId]) -> None:
        members = sorted(live | {self._daemon_id})
        shards = range(self._settings.shards)
        self._owners = tuple(
            rank_by_hash(f'ledger/{shard}', members)[0] for shard in shards
        )
        self._live = live
        owned = max(1, self._owners.count(self._daemon_id))
        self._write_limiter.set_rate(
            self._settings.writes_per_second * owned / self._settings.shards
        )
