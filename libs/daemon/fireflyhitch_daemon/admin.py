"""The HTTP API for operators: status, configuration, moves, drain and burn."""

import hashlib
import hmac
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any, ClassVar

from loguru import logger
from pydantic import BaseModel, TypeAdapter, ValidationError

from fireflyhitch_daemon.calls import ModelCalls
from fireflyhitch_daemon.directory import Directory
from fireflyhitch_daemon.health import Health
from fireflyhitch_daemon.http_server import (
    JSON_TYPE,
    OUTCOME_HEADER,
    CallerRequest,
    Header,
    Response,
)
from fireflyhitch_membership.configuration import (
    Accepted,
    ActiveConfiguration,
    ConfigurationManager,
)
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError, PlatformError
from fireflyhitch_model.ids import ChangeId, FailureDomainId, InstanceId, Revision
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_model.peers import PeerMessage
from fireflyhitch_model.states import Step
from fireflyhitch_platform.rates import CallBudget
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.records import MoveReport
from fireflyhitch_settings.checks import check_configuration
from fireflyhitch_settings.schema import Configuration, VersionMove
from fireflyhitch_telemetry.burn import BurnRecorder, BurnSnapshot, merge_snapshots

BEARER = 'Bearer '
ASK_TIMEOUT = timedelta(seconds=1)
_REPORTS_ADAPTER = TypeAdapter(tuple[MoveReport, ...])


class BurnRequest(PeerMessage):
    """Requests a daemon's burn counts."""

    kind: ClassVar[str] = 'burn-request'


class BurnReply(PeerMessage):
    """A daemon's burn counts."""

    kind: ClassVar[str] = 'burn-reply'

    snapshot: BurnSnapshot


class _Proposal(BaseModel):
    expected_revision: Revision
    change_id: ChangeId
    configuration: Configuration


class _DrainRequest(BaseModel):
    instance: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """What ``AdminApi`` depends on.

    :param drain: starts the graceful stop of this daemon.
    """

    token_sha256: str
    clock: Clock
    network: PeerNetwork
    config_manager: ConfigurationManager
    moves: MoveManager
    burn: BurnRecorder
    calls: ModelCalls
    directory: Directory
    health: Health
    budget: CallBudget
    drain: Callable[[], None]


class AdminApi:
    """Answers requests of operators, who authenticate with the admin token."""

    def __init__(self, deps: AdminDependencies) -> None:
        self._deps = deps
        self._routes: dict[tuple[str, str], Callable[[CallerRequest], Response]] = {
            ('GET', '/admin/status'): self._get_status,
            ('GET', '/admin/configuration'): self._get_configuration,
            ('PUT', '/admin/configuration'): self._propose,
            ('GET', '/admin/moves'): self._get_moves,
            ('POST', '/admin/drain'): self._drain,
            ('GET', '/admin/burn'): self._get_burn,
        }
        deps.network.handle(BurnRequest, self._reply_burn)

    def handle(self, request: CallerRequest) -> Response:
        """Answer an operator's request."""
        given = request.headers.get('authorization', '').removeprefix(BEARER)
        digest = hashlib.sha256(given.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._deps.token_sha256):
            return _refuse(HTTPStatus.UNAUTHORIZED, 'the token is not accepted')
        route = self._routes.get((request.method, request.path))
        if route is None:
            return _refuse(HTTPStatus.NOT_FOUND, f'nothing at {request.path}')
        try:
            return route(request)
        except ValidationError as error:
            return _refuse(HTTPStatus.BAD_REQUEST, str(error))
        except PlatformError as error:
            return _refuse_platform(error)

    def _get_status(self, _: CallerRequest) -> Response:
        deps = self._deps
        local_daemon = deps.network.daemon
        in_force = deps.config_manager.in_force()
        return _answer(
            {
                'daemon': local_daemon.daemon_id,
                'failure_domain': local_daemon.failure_domain,
                'ready': deps.health.find_unready_reason() is None,
                'obstacle': deps.health.find_unready_reason(),
                'revision': in_force.revision if in_force else None,
                'since': in_force.since.isoformat() if in_force else None,
                'open_streams': deps.calls.count_open(),
                'invariant_violations': count_violations(),
                'failure_domains': self._describe_domains(),
                'daemons': [
                    {
                        'daemon': daemon.daemon_id,
                        'failure_domain': daemon.failure_domain,
                        'entry': daemon.entry_address,
                    }
                    for daemon in deps.network.live()
                ],
                'backend_servers': [
                    {
                        'server': server.server_id,
                        'deployment': server.deployment,
                        'version': server.version,
                        'failure_domain': server.failure_domain,
                        'machine_class': server.machine_class.value,
                    }
                    for server in deps.directory.list_servers()
                ],
                'leaving': sorted(deps.network.leaving()),
                'store_calls': {
                    kind.value: count for kind, count in deps.budget.counts().items()
                },
            }
        )

    def _describe_domains(self) -> list[Mapping[str, Any]]:
        revisions = self._deps.config_manager.revisions_by_failure_domain()
        return [
            {
                'failure_domain': domain,
                'revision': held.revision,
                'lowest': held.lowest,
                'since': held.since.isoformat() if held.since else None,
            }
            for domain, held in sorted(revisions.items())
        ]

    def _get_configuration(self, _: CallerRequest) -> Response:
        return _answer(_describe(self._deps.config_manager.in_force()))

    def _propose(self, request: CallerRequest) -> Response:
        proposal = _Proposal.model_validate_json(request.body)
        findings = self._check(proposal.configuration)
        if findings:
            return _refuse(HTTPStatus.BAD_REQUEST, findings)
        result = self._deps.config_manager.propose(
            proposal.configuration, proposal.expected_revision, proposal.change_id
        )
        log = logger.bind(step=Step.CONFIGURE.value, change=proposal.change_id)
        if isinstance(result, Accepted):
            log.bind(revision=result.revision).info('configuration accepted')
            return _answer({'revision': result.revision})
        log.info('configuration rejected: another change came first')
        current = _describe(result.current)
        return _answer(
            {
                'error': 'another change came first',
                'current_revision': current['revision'],
                'configuration': current.get('configuration'),
            },
            HTTPStatus.CONFLICT,
        )

    def _check(self, configuration: Configuration) -> str:
        """Return all errors in a configuration as one text.

        A move's date must be in the future when the move is proposed; the date of
        a move accepted earlier may have passed.
        """
        in_force = self._deps.config_manager.in_force()
        accepted = _list_moves(in_force.configuration) if in_force else ()
        has_new_moves = any(move not in accepted for move in _list_moves(configuration))
        now = self._deps.clock.now() if has_new_moves else None
        return '; '.join(
            f'{".".join(map(str, finding.location))}: {finding.message}'
            for finding in check_configuration(configuration, now)
        )

    def _get_moves(self, _: CallerRequest) -> Response:
        reports = self._deps.moves.moves()
        return _answer({'moves': _REPORTS_ADAPTER.dump_python(reports, mode='json')})

    def _drain(self, request: CallerRequest) -> Response:
        parsed = _DrainRequest.model_validate_json(request.body or b'{}')
        if parsed.instance is None:
            self._deps.drain()
            return _answer({'draining': self._deps.network.daemon.daemon_id})
        server = self._deps.directory.find(parsed.instance)
        if server is None:
            return _refuse(HTTPStatus.NOT_FOUND, f'no instance {parsed.instance}')
        self._deps.network.mark_leaving(parsed.instance, server.incarnation)
        self._deps.directory.remove((parsed.instance,))
        return _answer({'draining': parsed.instance})

    def _get_burn(self, _: CallerRequest) -> Response:
        merged = self._collect_burn()
        return _answer(merged.model_dump(mode='json'))

    def _collect_burn(self) -> BurnSnapshot:
        """Sum the counts of all daemons; list the domains that did not answer."""
        network = self._deps.network
        snapshots = [self._deps.burn.snapshot()]
        unreachable: set[FailureDomainId] = set(network.unreachable_domains())
        for daemon in network.live():
            if daemon.daemon_id == network.daemon.daemon_id:
                continue
            try:
                reply = network.ask(daemon.daemon_id, BurnRequest(), ASK_TIMEOUT)
            except PeerError:
                unreachable.add(daemon.failure_domain)
                continue
            if isinstance(reply, BurnReply):
                snapshots.append(reply.snapshot)
        return merge_snapshots(snapshots, sorted(unreachable))

    def _reply_burn(self, _sender: object, _request: BurnRequest) -> BurnReply:
        return BurnReply(snapshot=self._deps.burn.snapshot())


def _list_moves(configuration: Configuration) -> tuple[VersionMove, ...]:
    return tuple(
        deployment.move for deployment in configuration.deployments if deployment.move
    )


def _describe(in_force: ActiveConfiguration | None) -> dict[str, Any]:
    if in_force is None:
        return {'revision': 0, 'configuration': None}
    configuration = in_force.configuration.model_dump(mode='json')
    return {'revision': in_force.revision, 'configuration': configuration}


def _answer(document: Mapping[str, Any], status: int = HTTPStatus.OK) -> Response:
    body = json.dumps(document).encode()
    return Response(status, body, (Header('Content-Type', JSON_TYPE),))


def _refuse(status: int, message: str) -> Response:
    return _answer({'error': {'message': message}}, status)


def _refuse_platform(error: PlatformError) -> Response:
    document = {'error': {'message': str(error)}, 'outcome': error.outcome.value}
    answer = _answer(document, HTTPStatus.SERVICE_UNAVAILABLE)
    outcome = Header(OUTCOME_HEADER, error.outcome.value)
    return Response(answer.status, answer.body, (*answer.headers, outcome))
