"""What a daemon's registration in the store tells the others."""

from dataclasses import dataclass

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.connections import Address


@dataclass(frozen=True, slots=True)
class Registration:
    """A daemon as the store lists it.

    :param address: where it takes the others' messages.
    :param process: names this process, and no later one at the same place.
    :param link_mbps: what its instance's link carries; 0 if that is not known.
    """

    address: Address
    process: str
    failure_domain: FailureDomainId
    link_mbps: float = 0

    def render(self) -> bytes:
        """Return the registration as it stands in the store."""
        words = (str(self.address), self.process, self.failure_domain)
        return ' '.join((*words, f'{self.link_mbps:g}')).encode()


def read_registration(value: bytes) -> Registration:
    """Read a registration; one of an older version may not tell the link.

    :raises ValueError: if it is none.
    """
    address, process, domain, *more = value.decode().split(' ')
    link_mbps = float(more[0]) if more else 0
    return Registration(
        Address.parse(address), process, FailureDomainId(domain), link_mbps
    )
