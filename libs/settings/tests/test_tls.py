"""Tests of TLS contexts and of reloading their files."""

import ssl

import pytest
import trustme

from fireflyhitch_settings.bootstrap import TlsFiles
from fireflyhitch_settings.errors import SettingsErrors
from fireflyhitch_settings.tls import TlsContexts


class Connection:
    """A TLS connection in memory."""

    def __init__(self, client, server):
        to_client, to_server = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.client = client.wrap_bio(to_client, to_server, False, '127.0.0.1')
        self.server = server.wrap_bio(to_server, to_client, True)
        for side in (self.client, self.server) * 2:
            self.do_handshake_step(side)

    def do_handshake_step(self, side):
        try:
            side.do_handshake()
        except ssl.SSLWantReadError:
            return False
        return True

    def send_to_client(self, message):
        self.server.write(message)
        return self.client.read(1024)

    @property
    def certificate(self):
        return self.client.getpeercert(binary_form=True)


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def issue(authority, tmp_path):
    def write_files():
        issued = authority.issue_cert('127.0.0.1')
        issued.cert_chain_pems[0].write_to_path(tmp_path / 'certificate.pem')
        issued.private_key_pem.write_to_path(tmp_path / 'key.pem')
        authority.cert_pem.write_to_path(tmp_path / 'authority.pem')
        return TlsFiles(
            certificate=str(tmp_path / 'certificate.pem'),
            private_key=str(tmp_path / 'key.pem'),
            authority=str(tmp_path / 'authority.pem'),
        )

    return write_files


@pytest.fixture
def client(authority):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return context


class TestReload:
    """Reloading of certificate files."""

    def test_open_connection_survives_and_new_one_gets_new_certificate(
        self, issue, client
    ):
        """The platform replaces the certificate while a stream is open.

        After the reload the stream continues on its negotiated connection, and
        the next caller gets the new certificate.
        """
        contexts = TlsContexts(issue())
        stream = Connection(client, contexts.callers)
        assert stream.send_to_client(b'one') == b'one'
        issue()
        assert contexts.reload()
        assert stream.send_to_client(b'two') == b'two'
        later = Connection(client, contexts.callers)
        assert later.send_to_client(b'three') == b'three'
        assert later.certificate != stream.certificate

    def test_unchanged_files_are_not_reloaded(self, issue):
        assert not TlsContexts(issue()).reload()

    def test_mismatched_files_change_nothing(self, issue, client):
        """The platform has written the new key but not yet the certificate.

        A reload at this point fails, and callers are served with the old pair
        until both files are written.
        """
        files = issue()
        contexts = TlsContexts(files)
        before = Connection(client, contexts.callers).certificate
        with open(files.certificate, 'rb') as held:
            old = held.read()
        issue()
        with open(files.certificate, 'wb') as partial:
            partial.write(old)
        with pytest.raises(SettingsErrors):
            contexts.reload()
        assert Connection(client, contexts.callers).certificate == before


class TestPeers:
    """Mutual authentication between peers."""

    def test_peers_of_one_authority_can_connect(self, issue):
        contexts = TlsContexts(issue())
        link = Connection(contexts.peers_client, contexts.peers_server)
        assert link.send_to_client(b'digest') == b'digest'

    def test_peer_without_certificate_is_refused(self, issue, client):
        contexts = TlsContexts(issue())
        with pytest.raises(ssl.SSLError):
            Connection(client, contexts.peers_server)


class TestFiles:
    """Files that cannot be used."""

    def test_each_missing_file_is_reported(self, tmp_path):
        files = TlsFiles(certificate=str(tmp_path / 'a'), private_key='/none/b')
        caught = pytest.raises(SettingsErrors, TlsContexts, files)
        keys = [error.key for error in caught.value.exceptions]
        assert sorted(keys) == ['tls.certificate', 'tls.private_key']
