"""Client of the weight store."""

from datetime import timedelta

from pydantic import BaseModel, ConfigDict, NonNegativeFloat, TypeAdapter

from fireflyhitch_model.ids import DeploymentId, VersionId
from fireflyhitch_model.states import Step
from fireflyhitch_platform.http import (
    CallPolicy,
    Operation,
    PlatformHttp,
    RetryPolicy,
    parse_body,
)

# A reservation whose response was lost still uses its slot. A retry would take a
# second slot, and many clients doing so would starve the store.
RESERVE = Operation('reserve', 'POST', Step.WEIGHTS, RetryPolicy.IF_NOT_RUN)


class _Reserved(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')

    wait_seconds: NonNegativeFloat


_RESERVED = TypeAdapter(_Reserved)


class HttpWeightStore:
    """HTTP implementation of ``WeightStore``.

    :param url: base URL of the weight store.
    """

    def __init__(self, url: str, policy: CallPolicy | None = None) -> None:
        self._url = url.rstrip('/')
        self._http = PlatformHttp('weight-store', policy)

    def reserve(self, deployment: DeploymentId, version: VersionId) -> timedelta:
        """Reserve one load and return how long to wait before it starts.

        :raises PlatformError: with outcome ``unknown`` if a slot may have been taken.
        """
        document = {'deployment': deployment, 'version': version}
        response = self._http.call(RESERVE, f'{self._url}/reservations', document)
        reserved = parse_body(_RESERVED, response, Step.WEIGHTS, self._url)
        return timedelta(seconds=reserved.wait_seconds)
