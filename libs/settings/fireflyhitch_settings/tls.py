"""TLS contexts whose files can be reloaded without dropping connections."""

import ssl
from pathlib import Path

from fireflyhitch_settings.bootstrap import TlsFiles
from fireflyhitch_settings.errors import SettingsError, SourcePosition, raise_errors

PROTOCOLS = ('http/1.1',)


class TlsContexts:
    """A daemon's TLS contexts for callers, operators and peers.

    Files reloaded into a context apply to new handshakes; open connections keep
    the parameters that they negotiated.

    :param files: certificate and key; the authority is required between peers.
    :raises SettingsErrors: for every file that cannot be used.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        _check_files(files)
        self.callers = _make_server_context()
        self.peers_server = _make_server_context()
        self.peers_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Peers must present a certificate issued by the authority.
        self.peers_server.verify_mode = ssl.CERT_REQUIRED
        self._loaded = b''
        self.reload()

    def reload(self) -> bool:
        """Reload the files if they have changed.

        They are first loaded into a temporary context. A mismatched pair loaded
        into the active contexts would combine the old key with the new certificate,
        and every new handshake would fail until the next reload.

        :returns: whether the files had changed.
        :raises SettingsErrors: if the new files cannot be used; the contexts
            then stay unchanged.
        """
        content = _read_files(self._files)
        if content == self._loaded:
            return False
        _check_files(self._files)
        for context in (self.callers, self.peers_server, self.peers_client):
            _load_files(context, self._files)
        self._loaded = content
        return True


def _make_server_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(PROTOCOLS)
    return context


def _load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.load_cert_chain(files.certificate, files.private_key)
    if files.authority is not None:
        # Loaded authorities accumulate, so that an old and a new one can overlap;
        # an authority is no longer trusted only after the next restart.
        context.load_verify_locations(files.authority)


def _check_files(files: TlsFiles) -> None:
    errors = [
        SettingsError(f'cannot be read: {failure.strerror}', SourcePosition(path), key)
        for key, path in _list_paths(files)
        if (failure := _find_read_error(path)) is not None
    ]
    raise_errors(errors)
    try:
        _load_files(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), files)
    except (ssl.SSLError, ValueError) as error:
        message = f'certificate, key and authority cannot be used together: {error}'
        position = SourcePosition(files.certificate)
        raise_errors([SettingsError(message, position, 'tls')])


def _list_paths(files: TlsFiles) -> list[tuple[str, str]]:
    paths = [
        ('tls.certificate', files.certificate),
        ('tls.private_key', files.private_key),
    ]
    if files.authority is not None:
        paths.append(('tls.authority', files.authority))
    return paths


def _find_read_error(path: str) -> OSError | None:
    try:
        Path(path).read_bytes()
    except OSError as error:
        return error
    return None


def _read_files(files: TlsFiles) -> bytes:
    _check_files(files)
    return b'\0'.join(Path(path).read_bytes() for _, path in _list_paths(files))
