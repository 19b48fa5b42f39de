"""Tests of TLS contexts and of reading their files again."""

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
            self.shake(side)

    def shake(self, side):
        try:
            side.do_handshake()
        except ssl.SSLWantReadError:
            return False
        return True

    def carry(self, message):
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
    """New files for old contexts."""

    def test_open_connection_goes_on_and_new_one_sees_new_files(self, issue, client):
        """A stream is open while the platform replaces the certificate.

        The contexts read the files again. The stream's bytes go on over what
        its handshake agreed on, and the next caller gets the new certificate.
        """
        contexts = TlsContexts(issue())
        stream = Connection(client, contexts.callers)
        assert stream.carry(b'one') == b'one'
        issue()
        assert contexts.reload()
        assert stream.carry(b'two') == b'two'
        later = Connection(client, contexts.callers)
        assert later.carry(b'three') == b'three'
        assert later.certificate != stream.certificate

    def test_unchanged_files_are_left_alone(self, issue):
        assert not TlsContexts(issue()).reload()

    def test_files_that_do_not_fit_change_nothing(self, issue, client):
        """The platform has written the key, and not yet the certificate.

        A reload at this moment is an error, and callers are served with the old
        pair until both files are there.
        """
        files = issue()
        contexts = TlsContexts(files)
        before = Connection(client, contexts.callers).certificate
        with open(files.certificate, 'rb') as held:
            old = held.read()
        issue()
        with open(files.certificate, 'wb') as half_done:
            half_done.write(old)
        with pytest.raises(SettingsErrors):
            contexts.reload()
        assert Connection(client, contexts.callers).certificate == before


class TestPeers:
    """Both sides show certificates."""

    def test_peers_of_one_authority_talk(self, issue):
        contexts = TlsContexts(issue())
        link = Connection(contexts.peers_client, contexts.peers_server)
        assert link.carry(b'digest') == b'digest'

    def test_peer_without_certificate_is_refused(self, issue, client):
        contexts = TlsContexts(issue())
        with pytest.raises(ssl.SSLError):
            Connection(client, contexts.peers_server)


class TestFiles:
    """Files that cannot be used."""

    def test_each_missing_file_is_named(self, tmp_path):
        files = TlsFiles(certificate=str(tmp_path / 'a'), private_key='/none/b')
        caught = pytest.raises(SettingsErrors, TlsContexts, files)
        keys = [error.key for error in caught.value.exceptions]
        assert sorted(keys) == ['tls.certificate', 'tls.private_key']
