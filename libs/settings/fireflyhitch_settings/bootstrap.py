"""A daemon's own settings, read once from its file at start."""

from typing import Annotated, Literal

from pydantic import Field

from fireflyhitch_model.ids import DaemonId, FailureDomainId, InstanceId
from fireflyhitch_settings.schema import Checked, Positive, Sha256

# One interpreter relays about so many before callers' first tokens come later.
DEFAULT_MAX_STREAMS = 400
MAX_PORT = 65535
KIBIBYTE = 1024
MEBIBYTE = KIBIBYTE * KIBIBYTE
MAX_HEADER_BYTES = 32768

Url = Annotated[str, Field(pattern='^https?://[^/]+')]
Address = Annotated[str, Field(pattern=r'^\S+:\d+$')]


class Listener(Checked):
    """An address to listen at; port 0 lets the kernel choose."""

    host: str = '127.0.0.1'
    port: Annotated[int, Field(ge=0, le=MAX_PORT)] = 0


class TlsFiles(Checked):
    """Files that the platform gives at start; read again on SIGHUP."""

    certificate: str
    private_key: str
    authority: str | None = None


class PlatformAddresses(Checked):
    """Base URLs of the platform's services."""

    key_value: Url
    instance_list: Url
    cloud: Url
    weight_store: Url | None = None


class Limits(Checked):
    """Bounds on what one caller's connection may send or hold."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 4 * MEBIBYTE
    max_header_bytes: Annotated[int, Field(gt=0)] = MAX_HEADER_BYTES
    max_streams: Annotated[int, Field(gt=0)] = DEFAULT_MAX_STREAMS
    header_seconds: Positive = 10
    drain_seconds: Positive = 60


class DaemonSettings(Checked):
    """Everything that a daemon is told rather than finds out.

    :param admin_token_sha256: hash of the operators' token.
    :param peer_key: shared by all daemons.
    :param seeds: peers' addresses to start from, while the instance list or
        the links know of no others.
    """

    daemon_id: DaemonId
    instance_id: InstanceId
    failure_domain: FailureDomainId
    callers: Listener = Listener()
    admin: Listener = Listener()
    peers: Listener = Listener()
    admin_token_sha256: Annotated[Sha256, Field(repr=False)]
    peer_key: Annotated[str, Field(repr=False)]
    seeds: tuple[Address, ...] = ()
    platform: PlatformAddresses
    limits: Limits = Limits()
    tls: TlsFiles | None = None
    log_level: Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
