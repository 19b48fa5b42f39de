"""The time that requests of a service hold a slot of a server, learned from responses."""

from dataclasses import dataclass, field

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_serving.servers import ServerRecord

# Weight of the newest response in the mean.
NEWEST_WEIGHT = 0.05
# A response that takes longer than this many times the mean was delayed by a fault.
MAX_DELAY_FACTOR = 4.0
# A response takes no less; the mean is divided by.
MIN_SECONDS = 0.0001
# Before the first response.
ASSUMED_SECONDS = 0.05


@dataclass(slots=True)
class WorkTimes:
    """Mean time at a server of the usual speed, by service and by route."""

    _seconds: dict[tuple[DeploymentId, str], float] = field(default_factory=dict)

    def record(
        self, service: DeploymentId, seconds: float, time_factor: float, route: str = ''
    ) -> None:
        """Add a complete response.

        :param seconds: for which it held a slot.
        :param time_factor: of the server when the request was sent.
        :param route: name of its route.
        """
        usual = max(seconds / time_factor, MIN_SECONDS)
        for key in {(service, ''), (service, route)}:
            mean = self._seconds.get(key, usual)
            self._seconds[key] = mean + NEWEST_WEIGHT * (
                min(usual, MAX_DELAY_FACTOR * mean) - mean
            )

    def is_known(self, service: DeploymentId) -> bool:
        """Return whether any response of a service has been recorded."""
        return (service, '') in self._seconds

    def find(self, service: DeploymentId, route: str = '') -> float:
        """Return the mean time of a service's requests, in seconds.

        :param route: name of the route whose requests count; empty for all of them.
        """
        seconds = self._seconds.get((service, route))
        if seconds is None:
            seconds = self._seconds.get((service, ''), ASSUMED_SECONDS)
        return seconds


def count_requests(record: ServerRecord, now: float) -> int:
    """Return the requests at a server, those that wait there included.

    Its own report is newer than the other daemons' counts, and lacks what they have
    sent since.
    """
    requests = record.total(now).requests
    load = record.find_fresh_load(now)
    return requests if load is None else max(requests, load.running + load.waiting)


def exclude_wait(seconds: float, record: ServerRecord, now: float) -> float:
    """Return a response time without the time that it waited for a slot.

    With the wait, the learned time of work grows in an overload, and more is shed than
    exceeds the capacity.
    """
    requests = count_requests(record, now) + 1
    return seconds * min(record.server.slots / requests, 1)
