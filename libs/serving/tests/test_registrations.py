"""Tests of what daemons write of themselves into the store."""

import pytest

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.registrations import Registration, read_registration

OWN = Registration(
    Address('10.1.0.14', 7600), 'front-1/a1', FailureDomainId('gent'), 10
)


class TestRegistration:
    def test_it_is_read_as_it_was_written(self) -> None:
        assert read_registration(OWN.render()) == OWN

    def test_one_without_a_link_is_read(self) -> None:
        # While instances are replaced one by one, older versions are listed as well.
        told = read_registration(b'10.1.0.14:7600 front-1/a1 gent')
        assert told.address == OWN.address
        assert not told.link_mbps

    @pytest.mark.parametrize('value', [b'', b'10.1.0.14 p', b'a:b p gent', b'\xff'])
    def test_what_is_none_is_said(self, value: bytes) -> None:
        with pytest.raises(ValueError):
            read_registration(value)
