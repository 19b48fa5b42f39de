"""Additive counts of calls by version, route, load and failure domain."""

import math
from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import ClassVar, NamedTuple

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import DeploymentId, FailureDomainId, VersionId
from fireflyhitch_model.peers import PeerMessage

# Growth factor of latency buckets, from one millisecond up: coarse enough for
# small batches, and well below the slowdowns that matter.
BUCKET_GROWTH = 1.1
_LOG_GROWTH = math.log(BUCKET_GROWTH)
MIN_SECONDS = 0.001
# Latencies grow with load, so only calls at similar loads are compared.
BAND_LIMITS = (0.25, 0.5, 0.75, 1.0, 1.3)


class LoadBand(IntEnum):
    """Load of the server when the call was sent to it."""

    IDLE = 0
    LOW = 1
    USUAL = 2
    HIGH = 3
    FULL = 4
    OVERFULL = 5


class Signal(Enum):
    """A metric in which a version can be worse."""

    FAILURE = 'failing'
    FIRST_TOKEN = 'slow to the first token'
    BETWEEN_TOKENS = 'slow between tokens'


class CellKey(NamedTuple):
    """The attributes by which calls are grouped for comparison."""

    deployment: DeploymentId
    version: VersionId
    route: str
    band: LoadBand
    failure_domain: FailureDomainId


@dataclass(slots=True)
class CallCounts:
    """Counts of the calls in one cell.

    :param first_token: calls by latency bucket of the time to the first token.
    :param between_tokens: calls by latency bucket of the mean time between tokens.
    """

    calls: int = 0
    failures: int = 0
    first_token: dict[int, int] = field(default_factory=dict)
    between_tokens: dict[int, int] = field(default_factory=dict)

    def get_latencies(self, signal: Signal) -> dict[int, int]:
        """Return the latency histogram for a signal."""
        if signal is Signal.FIRST_TOKEN:
            return self.first_token
        return self.between_tokens

    def add(self, other: 'CallCounts') -> None:
        """Add the counts of another cell."""
        self.calls += other.calls
        self.failures += other.failures
        _add_counts(self.first_token, other.first_token)
        _add_counts(self.between_tokens, other.between_tokens)


class CellMessage(BaseModel):
    """Wire format of one cell."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    deployment: DeploymentId
    version: VersionId
    route: str
    band: int
    failure_domain: FailureDomainId
    calls: int
    failures: int
    first_token: dict[int, int] = {}
    between_tokens: dict[int, int] = {}


class BatchMessage(BaseModel):
    """Counts of one period from one sender.

    A batch holds both the old and the new version's counts, so that they stay
    paired however late it arrives.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    sequence: int
    cells: tuple[CellMessage, ...]


class AggregationLevel(IntEnum):
    """Whether a batch covers one daemon or its failure domain."""

    DAEMON = 0
    FAILURE_DOMAIN = 1


class EvidenceMessage(PeerMessage):
    """The sender's latest batches; each batch is sent several times."""

    kind: ClassVar[str] = 'evidence-news'

    level: int
    batches: tuple[BatchMessage, ...]


def _add_counts(total: dict[int, int], added: dict[int, int]) -> None:
    for bucket, count in added.items():
        total[bucket] = total.get(bucket, 0) + count


def find_band(load: float) -> LoadBand:
    """Return the band of a server's load.

    :param load: calls in progress as a fraction of the server's capacity.
    """
    return LoadBand(bisect_right(BAND_LIMITS, load))


def find_bucket(seconds: float) -> int:
    """Return the bucket of a latency."""
    return round(math.log(max(seconds, MIN_SECONDS) / MIN_SECONDS) / _LOG_GROWTH)


def make_batch(sequence: int, cells: dict[CellKey, CallCounts]) -> BatchMessage:
    """Return counts in their wire format."""
    return BatchMessage(
        sequence=sequence,
        cells=tuple(
            CellMessage(
                **key._asdict(),
                calls=counts.calls,
                failures=counts.failures,
                first_token=dict(counts.first_token),
                between_tokens=dict(counts.between_tokens),
            )
            for key, counts in cells.items()
        ),
    )


def parse_batch(batch: BatchMessage) -> dict[CellKey, CallCounts]:
    """Return the counts of a batch in wire format."""
    return {
        CellKey(
            cell.deployment,
            cell.version,
            cell.route,
            LoadBand(cell.band),
            cell.failure_domain,
        ): CallCounts(
            cell.calls,
            cell.failures,
            dict(cell.first_token),
            dict(cell.between_tokens),
        )
        for cell in batch.cells
    }


def add_cells(
    total: dict[CellKey, CallCounts], added: dict[CellKey, CallCounts]
) -> None:
    """Add the counts of ``added`` to ``total``."""
    for key, counts in added.items():
        total.setdefault(key, CallCounts()).add(counts)
