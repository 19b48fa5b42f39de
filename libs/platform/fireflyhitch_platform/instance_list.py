"""Client of the instance list."""

import threading
from http import HTTPStatus

from pydantic import TypeAdapter

from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.states import Step
from fireflyhitch_platform.http import (
    CallPolicy,
    Operation,
    PlatformHttp,
    parse_body,
)

READ = Operation('read', 'GET', Step.LIST_INSTANCES)

_LISTING = TypeAdapter(InstanceListing)


class HttpInstanceList:
    """HTTP implementation of ``InstanceList``; an unchanged list is not resent.

    :param url: URL of the list.
    """

    def __init__(self, url: str, policy: CallPolicy | None = None) -> None:
        self._url = url
        self._http = PlatformHttp('instance-list', policy)
        self._lock = threading.Lock()
        self._tag: str | None = None
        self._listing = InstanceListing()

    def read(self) -> InstanceListing:
        """Return the platform's current list.

        :raises PlatformError: if it cannot be read.
        """
        with self._lock:
            headers = {} if self._tag is None else {'If-None-Match': self._tag}
            response = self._http.call(READ, self._url, headers=headers)
            if response.status == HTTPStatus.NOT_MODIFIED:
                return self._listing
            self._listing = parse_body(
                _LISTING, response, Step.LIST_INSTANCES, self._url
            )
            self._tag = response.headers.get('ETag')
            return self._listing
