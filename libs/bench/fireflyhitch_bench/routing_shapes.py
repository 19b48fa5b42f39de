"""What the routing benchmark serves: fixed before any policy was measured.

Service curve: an 8-billion-parameter model in 16 bit (16 GB of weights) on a 24 GB
accelerator with 600 GB/s of memory bandwidth. A decoding step reads the weights
once, which is 27 ms, and each call adds about 1 ms for its KV cache and sampling.
At 40% of 125 TFLOPS a prompt token of 16 GFLOP costs 1/3000 s. The 6 GB left over
hold some 45,000 tokens of KV cache (131 kB each with grouped attention).

Prices: on demand 1.01 an hour, the order of public list prices for such an
instance; reclaimable 0.35 to 0.62 of that, the usual spread over zones. About 61%
of the instances are reclaimable.
"""

from dataclasses import dataclass
from enum import Enum

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import (
    BackendServerId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.states import MachineClass, Priority
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    CustomerLimits,
    ModelDeployment,
    ServiceDeployment,
)
from fireflyhitch_standins.engine_messages import EngineProfile

ON_DEMAND_PRICE = 1.01
RECLAIMABLE_SHARES = (0.42, 0.35, 0.62, 0.5)
MODEL_PROFILE = EngineProfile(
    max_running=16,
    max_waiting=64,
    step_seconds=0.027,
    step_seconds_per_call=0.001,
    prompt_tokens_per_second=3000,
    chunk_tokens=512,
    cache_tokens=45000,
    event_lag=0.5,
    event_loss=0.05,
)
# A plain service: one step a call, 80 ms, and 20 ms more for each call beside it.
SERVICE_PROFILE = EngineProfile(
    max_running=16,
    max_waiting=64,
    step_seconds=0.08,
    step_seconds_per_call=0.02,
    prompt_tokens_per_second=3000,
)
BLOCK = MODEL_PROFILE.block_tokens
MODEL_GAP_TARGET = 0.068


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of question.

    :param weight: share of the sessions.
    :param template: tokens of the prompt that all its sessions share.
    :param message: mean tokens that a caller adds in a turn.
    :param answer: mean tokens of an answer.
    :param turns: mean turns of a session.
    """

    name: str
    weight: float
    template: int
    message: int
    answer: int
    turns: float
    priority: Priority = Priority.NORMAL


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment of one firm and its callers."""

    name: str
    domains: tuple[FailureDomainId, ...]
    model_servers: int
    service_servers: int
    daemons: int
    routes: tuple[Route, ...]
    customer_weights: tuple[float, ...] = (0.42, 0.31, 0.1, 0.09, 0.08)

    @property
    def model(self) -> DeploymentId:
        """Return the model deployment's name."""
        return DeploymentId(f'{self.name}-model')

    @property
    def service(self) -> DeploymentId:
        """Return the plain service's name."""
        return DeploymentId(f'{self.name}-service')

    def scale(self, factor: int) -> 'Shape':
        """Return the shape at a multiple of its size."""
        return Shape(
            self.name,
            self.domains,
            self.model_servers * factor,
            self.service_servers * factor,
            self.daemons * factor,
            self.routes,
            self.customer_weights,
        )

    def servers(self) -> tuple[BackendServer, ...]:
        """Return all backend servers."""
        return (
            *self._servers_of(self.model, self.model_servers),
            *self._servers_of(self.service, self.service_servers),
        )

    def configuration(self, limit_requests: float) -> Configuration:
        """Return the configuration with one request limit for all customers."""
        limits = CustomerLimits(
            requests_per_second=limit_requests,
            tokens_per_second=limit_requests * 2000,
            concurrent_requests=10000,
        )
        customers = tuple(
            Customer(customer_id=name, api_key_sha256='0' * 64, limits=limits)
            for name in self.customers()
        )
        return Configuration(
            deployments=(
                ModelDeployment(
                    name=self.model,
                    failure_domains=self.domains,
                    version=VersionId('v1'),
                ),
                ServiceDeployment(
                    name=self.service,
                    failure_domains=self.domains,
                    version=VersionId('v1'),
                ),
            ),
            customers=customers,
        )

    def customers(self) -> tuple[CustomerId, ...]:
        """Return the customers, the large ones first."""
        numbers = range(len(self.customer_weights))
        return tuple(CustomerId(f'customer-{number}') for number in numbers)

    def capacity(self) -> float:
        """Return the model calls a second that meet the gap target.

        With ``n`` calls in a batch the time between tokens is ``step + n * each +
        n * prompt / (answer * speed)``. It is set equal to the target and solved for
        ``n``; half of a prompt is taken to be cached. Every call then takes
        ``answer * target`` seconds.
        """
        answer = _mean(self.routes, [route.answer for route in self.routes])
        prompt = _mean(self.routes, [_prompt_of(route) for route in self.routes]) / 2
        profile = MODEL_PROFILE
        each = profile.step_seconds_per_call
        each += prompt / (answer * profile.prompt_tokens_per_second)
        batch = (MODEL_GAP_TARGET - profile.step_seconds) / each
        batch = min(batch, profile.max_running)
        return self.model_servers * batch / (answer * MODEL_GAP_TARGET)

    def _servers_of(
        self, deployment: DeploymentId, count: int
    ) -> tuple[BackendServer, ...]:
        return tuple(
            self._server(deployment, number, MODEL_PROFILE.max_running)
            for number in range(count)
        )

    def _server(
        self, deployment: DeploymentId, number: int, capacity: int
    ) -> BackendServer:
        place = number % len(self.domains)
        # Three of five are reclaimable.
        on_demand = number % 5 in {2, 4}
        share = 1 if on_demand else RECLAIMABLE_SHARES[place]
        return BackendServer(
            server_id=BackendServerId(f'{deployment}-{number}'),
            instance=InstanceId(f'{deployment}-{number}'),
            deployment=deployment,
            version=VersionId('v1'),
            failure_domain=self.domains[place],
            address='127.0.0.1:1',
            machine_class=(
                MachineClass.ON_DEMAND if on_demand else MachineClass.RECLAIMABLE
            ),
            price=ON_DEMAND_PRICE * share,
            capacity=capacity,
        )


def _prompt_of(route: Route) -> float:
    earlier = (route.turns - 1) / 2
    return route.template + route.message + earlier * (route.message + route.answer)


def _mean(routes: tuple[Route, ...], figures: list[float]) -> float:
    weights = [route.weight * route.turns for route in routes]
    total = sum(
        weight * figure for weight, figure in zip(weights, figures, strict=True)
    )
    return total / sum(weights)


FLANDERS = Shape(
    'flanders',
    tuple(map(FailureDomainId, ('gent', 'brugge', 'kortrijk', 'aalst'))),
    model_servers=5,
    service_servers=4,
    daemons=8,
    routes=(
        Route('history', 0.5, template=512, message=240, answer=140, turns=2),
        Route('regulation', 0.3, template=960, message=60, answer=160, turns=3),
        Route('parts', 0.2, template=320, message=40, answer=50, turns=2),
    ),
)
LJUBLJANA = Shape(
    'ljubljana',
    tuple(map(FailureDomainId, ('bezigrad', 'moste', 'kranj', 'domzale'))),
    model_servers=5,
    service_servers=4,
    daemons=8,
    routes=(
        Route('desk', 0.6, template=640, message=50, answer=110, turns=3),
        Route('tags', 0.25, template=256, message=120, answer=24, turns=1),
        Route(
            'accreditation',
            0.15,
            template=768,
            message=400,
            answer=300,
            turns=1,
            priority=Priority.BATCH,
        ),
    ),
)


class Phase(Enum):
    """What goes on while the policies are measured."""

    STEADY = 'steady'
    RECLAIM = 'domain reclaimed'
    LAG = 'reports 5 s late'
    OVERLOAD = 'overload 1.5'


@dataclass(frozen=True, slots=True)
class PhasePlan:
    """Figures of a phase.

    :param load: arrivals as a share of the capacity.
    :param lag: seconds by which load reports lag.
    """

    load: float
    lag: float = 1
    reclaim: bool = False


PLANS = {
    Phase.STEADY: PhasePlan(0.45),
    Phase.RECLAIM: PhasePlan(0.45, reclaim=True),
    Phase.LAG: PhasePlan(0.45, lag=5),
    Phase.OVERLOAD: PhasePlan(1.5),
}
