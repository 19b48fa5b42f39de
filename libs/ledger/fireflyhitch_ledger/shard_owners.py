"""Assignment of shards to the daemons that commit them."""

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
    """Owner of each shard: the first live daemon in hash order.

    Daemons may disagree on which daemons are live. Then two of them write to one
    shard and one of the writes conflicts, which costs only efficiency.
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
        """Return the daemon that commits a shard.

        :returns: ``None`` if this daemon commits it, as the owner or because the
            owner was unresponsive recently.
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
        """Skip an owner for ``unresponsive_time``.

        Otherwise each call would wait for a crashed owner until membership
        detects the crash.
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
