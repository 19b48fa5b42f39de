"""Final responses to requests that no server has answered."""

from http import HTTPStatus

from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.admission import Admission, RefusedError
from fireflyhitch_serving.edge import Refusal
from fireflyhitch_serving.exchanges import Exchange


def make_no_server_error(admission: Admission, exchange: Exchange) -> RefusedError:
    """Return the error for a request that no server can take any more."""
    if exchange.runs:
        return RefusedError(
            Refusal(
                HTTPStatus.BAD_GATEWAY,
                'server_lost',
                'the server gave no whole answer',
                Outcome.UNKNOWN,
            )
        )
    return admission.build_transient_refusal(
        'no_server', 'no server can take the request'
    )
