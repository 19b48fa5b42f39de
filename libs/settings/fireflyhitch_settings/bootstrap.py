"""A daemon's own settings, read from its file at startup."""

from typing import Annotated, Literal

from pydantic import Field

from fireflyhitch_model.ids import DaemonId, FailureDomainId, InstanceId
from fireflyhitch_settings.schema import Positive, SettingsModel, Sha256

# About as many streams as one interpreter relays before first tokens are delayed.
DEFAULT_MAX_STREAMS = 400
MAX_PORT = 65535
KIBIBYTE = 1024
MEBIBYTE = KIBIBYTE * KIBIBYTE
MAX_HEADER_BYTES = 32768

Url = Annotated[str, Field(pattern='^https?://[^/]+')]
Address = Annotated[str, Field(pattern=r'^\S+:\d+$')]


class Listener(SettingsModel):
    """An address to listen on; the kernel chooses a port for 0."""

    host: str = '127.0.0.1'
    port: Annotated[int, Field(ge=0, le=MAX_PORT)] = 0


class TlsFiles(SettingsModel):
    """TLS files provided by the platform at startup and reloaded on SIGHUP."""

    certificate: str
    private_key: str
    authority: str | None = None


class PlatformAddresses(SettingsModel):
    """Base URLs of the platform's services."""

    key_value: Url
    instance_list: Url
    cloud: Url
    weight_store: Url | None = None


class Limits(SettingsModel):
    """Limits on a caller's connection."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 4 * MEBIBYTE
    max_header_bytes: Annotated[int, Field(gt=0)] = MAX_HEADER_BYTES
    max_streams: Annotated[int, Field(gt=0)] = DEFAULT_MAX_STREAMS
    header_seconds: Positive = 10
    drain_seconds: Positive = 60


class DaemonSettings(SettingsModel):
    """Settings that a daemon cannot discover at run time.

    :param admin_token_sha256: SHA-256 hash of the operators' token.
    :param peer_key: secret shared by all daemons.
    :param seeds: initial peer addresses, used while neither the instance list
        nor the peer links provide others.
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
