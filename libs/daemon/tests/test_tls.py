"""Tests of TLS for callers, operators and peers."""

import pytest
import trustme
import urllib3
from local_cluster import LocalCluster
from urllib3.exceptions import HTTPError, SSLError


def write_files(authority, directory):
    """Issue a certificate and write the files that the platform provides."""
    issued = authority.issue_cert('127.0.0.1')
    files = {
        'certificate': directory / 'certificate.pem',
        'private_key': directory / 'key.pem',
        'authority': directory / 'authority.pem',
    }
    chain = b''.join(blob.bytes() for blob in issued.cert_chain_pems)
    files['certificate'].write_bytes(chain)
    files['private_key'].write_bytes(issued.private_key_pem.bytes())
    files['authority'].write_bytes(authority.cert_pem.bytes())
    return {name: str(path) for name, path in files.items()}


@pytest.fixture
def authority():
    return trustme.CA()


class TestTls:
    """Two daemons that use TLS with callers, operators and each other."""

    def test_reloaded_files_do_not_break_open_streams(self, authority, tmp_path):
        """The platform replaces the certificate while an answer is streamed.

        The open stream is not affected; new connections use the new certificate.
        A caller that connects without TLS gets an error.
        """
        cluster = LocalCluster(write_files(authority, tmp_path))
        try:
            stream = cluster.open_stream(0, 'secret', 60)
            head = stream.read(200)
            write_files(authority, tmp_path)
            cluster.daemons[0].reload_tls()
            assert cluster.call(0, 'GET', '/v1/models').status == 200
            body = head + stream.read()
            assert body.endswith(b'data: [DONE]\n\n')
            plain = cluster.entry(0).replace('https', 'http')
            with pytest.raises(HTTPError):
                cluster.http.request('GET', f'{plain}/v1/models', timeout=2)
        finally:
            cluster.close()

    def test_caller_that_does_not_trust_the_authority_gets_no_answer(
        self, authority, tmp_path
    ):
        """A certificate that any authority could have issued would protect nobody."""
        other = tmp_path / 'other.pem'
        other.write_bytes(trustme.CA().cert_pem.bytes())
        cluster = LocalCluster(write_files(authority, tmp_path))
        try:
            callers = urllib3.PoolManager(retries=False, ca_certs=str(other))
            with pytest.raises(SSLError):
                callers.request('GET', f'{cluster.entry(0)}/v1/models', timeout=2)
        finally:
            cluster.close()
