"""Bounds of hand-overs: sizes, rates and patience."""

from dataclasses import dataclass
from datetime import timedelta

MAX_TOTAL_BYTES = 33554432
BATCH_BYTES = 262144
MAX_REQUEST_BYTES = 1048576
BYTES_PER_SECOND = 16777216.0
BATCH_REQUESTS = 16
MAX_REQUESTS = 200
ASK_TIMEOUT_SECONDS = 0.4
RETRY_INTERVAL_SECONDS = 0.1
CONFIRM_TIMEOUT_SECONDS = 2
LOCATION_TTL_MINUTES = 10


@dataclass(frozen=True, slots=True)
class HandOverSettings:
    """How much passes between daemons, and how fast.

    :param max_requests: how many taken-over requests a daemon holds at once.
    :param max_total_bytes: how much memory those may take in all.
    :param max_request_bytes: a request with its answer that is larger than this
        stays; a message on a peer link may have 1.25 MB.
    :param batch_requests: requests in one transfer; they are held meanwhile.
    :param bytes_per_second: at which one daemon sends.
    :param ask_timeout: how long a peer may take to answer.
    :param retry_interval: before all peers are tried again.
    :param confirm_timeout: after which a receiver that has no confirmation
        finds out what became of the sender.
    :param max_offers: how many peers are compared for room.
    :param directory_size: how many daemons know where a moved request is.
    """

    max_requests: int = MAX_REQUESTS
    max_total_bytes: int = MAX_TOTAL_BYTES
    max_request_bytes: int = MAX_REQUEST_BYTES
    batch_requests: int = BATCH_REQUESTS
    batch_bytes: int = BATCH_BYTES
    bytes_per_second: float = BYTES_PER_SECOND
    ask_timeout: timedelta = timedelta(seconds=ASK_TIMEOUT_SECONDS)
    retry_interval: timedelta = timedelta(seconds=RETRY_INTERVAL_SECONDS)
    confirm_timeout: timedelta = timedelta(seconds=CONFIRM_TIMEOUT_SECONDS)
    max_offers: int = 2
    directory_size: int = 3
    max_locations: int = 65536
    location_ttl: timedelta = timedelta(minutes=LOCATION_TTL_MINUTES)


DEFAULT_SETTINGS = HandOverSettings()
