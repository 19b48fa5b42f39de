"""Limits of hand-overs: sizes, rates and timeouts."""

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
    """Limits of hand-overs between daemons.

    :param max_requests: maximum number of requests that a daemon holds for peers
        or has taken over, at once.
    :param max_total_bytes: maximum memory of those requests together.
    :param max_request_bytes: a request that is larger than this, with its
        answer, is not moved; a message on a peer link may have 1.25 MB.
    :param batch_requests: requests in one transfer; they are held meanwhile.
    :param batch_bytes: maximum bytes in one transfer, unless one request is
        larger.
    :param bytes_per_second: rate at which one daemon sends.
    :param ask_timeout: time that a peer has to reply.
    :param retry_interval: delay before all peers are tried again.
    :param confirm_timeout: time after which a receiver without a confirmation
        checks whether the sender still answers the request.
    :param max_compared_peers: number of peers whose free capacity is compared.
    :param directory_size: number of daemons that store a moved request's location.
    :param max_locations: number of locations that a daemon stores.
    :param location_ttl: lifetime of a stored location.
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
    max_compared_peers: int = 2
    directory_size: int = 3
    max_locations: int = 65536
    location_ttl: timedelta = timedelta(minutes=LOCATION_TTL_MINUTES)


DEFAULT_SETTINGS = HandOverSettings()
