"""TLS contexts from files, which are read again without dropping a connection."""

import ssl
from pathlib import Path

from fireflyhitch_settings.bootstrap import TlsFiles
from fireflyhitch_settings.errors import Place, SettingsError, raise_errors

PROTOCOLS = ('http/1.1',)


class TlsContexts:
    """The contexts of one daemon: towards callers, operators and peers.

    A context hands out the certificate that it holds at each handshake, so new
    files in the same context reach new connections, and those that are open go
    on with what they have agreed.

    :param files: certificate and key; the authority is needed between peers.
    :raises SettingsErrors: naming every file that cannot be used.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        _check_files(files)
        self.callers = _make_server_context()
        self.peers_server = _make_server_context()
        self.peers_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # A peer without a certificate of the authority is not talked to.
        self.peers_server.verify_mode = ssl.CERT_REQUIRED
        self._held = b''
        self.reload()

    def reload(self) -> bool:
        """Read the files again if they have changed.

        A pair that does not fit is found in a context of its own first: in the
        contexts in use it would leave the old key beside the new certificate,
        and every new handshake would fail until the next reload.

        :returns: whether anything was new.
        :raises SettingsErrors: if the new files cannot be used; the contexts
            then keep what they hold.
        """
        found = _read_files(self._files)
        if found == self._held:
            return False
        _check_files(self._files)
        for context in (self.callers, self.peers_server, self.peers_client):
            _load_files(context, self._files)
        self._held = found
        return True


def _make_server_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(PROTOCOLS)
    return context


def _load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.load_cert_chain(files.certificate, files.private_key)
    if files.authority is not None:
        # Authorities add up, so that an old and a new one overlap; one that is
        # to be trusted no more goes with the next restart.
        context.load_verify_locations(files.authority)


def _check_files(files: TlsFiles) -> None:
    errors = [
        SettingsError(f'cannot be read: {failure.strerror}', Place(path), key)
        for key, path in _list_paths(files)
        if (failure := _try_read(path)) is not None
    ]
    raise_errors(errors)
    try:
        _load_files(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), files)
    except (ssl.SSLError, ValueError) as error:
        message = f'certificate, key and authority cannot be used together: {error}'
        place = Place(files.certificate)
        raise_errors([SettingsError(message, place, 'tls')])


def _list_paths(files: TlsFiles) -> list[tuple[str, str]]:
    paths = [
        ('tls.certificate', files.certificate),
        ('tls.private_key', files.private_key),
    ]
    if files.authority is not None:
        paths.append(('tls.authority', files.authority))
    return paths


def _try_read(path: str) -> OSError | None:
    try:
        Path(path).read_bytes()
    except OSError as error:
        return error
    return None


def _read_files(files: TlsFiles) -> bytes:
    _check_files(files)
    return b'\0'.join(Path(path).read_bytes() for _, path in _list_paths(files))
