"""Checks across the parts of a configuration, which no single field shows."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    Deployment,
    ServiceDeployment,
)

# A deployment's name is a part of callers' paths and of store keys.
SAFE_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
METHOD = re.compile('[A-Z]+')

Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """Something wrong in a configuration.

    :param location: the path of keys to it.
    """

    location: Location
    message: str


def check_configuration(
    configuration: Configuration, now: datetime | None = None
) -> tuple[Finding, ...]:
    """Return all that is wrong between the parts of a configuration.

    :param now: wall time that move dates must be after; ``None`` where the
        configuration was accepted earlier and its dates may have passed.
    """
    findings: list[Finding] = []
    for index, deployment in enumerate(configuration.deployments):
        here = ('deployments', index)
        findings.extend(_check_deployment(here, deployment))
        findings.extend(_check_move(here, deployment, now))
        findings.extend(_check_customers(here, deployment, configuration))
    findings.extend(_check_names(configuration))
    return tuple(findings)


def _check_names(configuration: Configuration) -> Iterator[Finding]:
    customers = configuration.customers
    names = [deployment.name for deployment in configuration.deployments]
    yield from _find_repeats('deployments', 'name', names)
    ids = [customer.customer_id for customer in customers]
    yield from _find_repeats('customers', 'customer_id', ids)
    keys = [customer.api_key_sha256 for customer in customers]
    yield from _find_repeats('customers', 'api_key_sha256', keys)
    for index, customer in enumerate(customers):
        yield from _check_customer(('customers', index), customer)


def _check_customer(here: Location, customer: Customer) -> Iterator[Finding]:
    if not SAFE_NAME.fullmatch(customer.customer_id):
        message = 'may hold only letters, digits, dots, dashes and underscores'
        yield Finding((*here, 'customer_id'), message)


def _check_deployment(here: Location, deployment: Deployment) -> Iterator[Finding]:
    if not SAFE_NAME.fullmatch(deployment.name):
        message = 'may hold only letters, digits, dots, dashes and underscores'
        yield Finding((*here, 'name'), message)
    domains = deployment.failure_domains
    yield from _find_repeats((*here, 'failure_domains'), None, domains)
    yield from _check_prices(here, deployment)
    capacity = deployment.capacity
    if capacity.min_servers > capacity.max_servers:
        message = f'{capacity.min_servers} is above max_servers {capacity.max_servers}'
        yield Finding((*here, 'capacity', 'min_servers'), message)
    if isinstance(deployment, ServiceDeployment):
        for index, method in enumerate(deployment.non_repeatable_methods):
            if not METHOD.fullmatch(method):
                place = (*here, 'non_repeatable_methods', index)
                yield Finding(place, f'{method!r} is no method in upper case')


def _check_prices(here: Location, deployment: Deployment) -> Iterator[Finding]:
    entries = [
        (entry.failure_domain, entry.machine_class.value) for entry in deployment.prices
    ]
    yield from _find_repeats((*here, 'prices'), None, entries)
    for index, entry in enumerate(deployment.prices):
        if entry.failure_domain not in deployment.failure_domains:
            place = (*here, 'prices', index, 'failure_domain')
            message = f'{entry.failure_domain!r} is no failure domain of the deployment'
            yield Finding(place, message)


def _check_move(
    here: Location, deployment: Deployment, now: datetime | None
) -> Iterator[Finding]:
    move = deployment.move
    if move is None:
        return
    if move.to_version == deployment.version:
        message = f'the deployment has version {move.to_version!r} already'
        yield Finding((*here, 'move', 'to_version'), message)
    if now is not None and move.move_by <= now:
        message = f'{move.move_by.isoformat()} has passed'
        yield Finding((*here, 'move', 'move_by'), message)


def _check_customers(
    here: Location, deployment: Deployment, configuration: Configuration
) -> Iterator[Finding]:
    known = {customer.customer_id for customer in configuration.customers}
    for index, customer in enumerate(deployment.customers):
        if customer not in known:
            message = f'{customer!r} is no customer of this configuration'
            yield Finding((*here, 'customers', index), message)


def _find_repeats(
    where: str | Location, key: str | None, entries: Iterable[object]
) -> Iterator[Finding]:
    base: Location = (where,) if isinstance(where, str) else where
    firsts: dict[object, int] = {}
    for index, entry in enumerate(entries):
        first = firsts.setdefault(entry, index)
        if first != index:
            location = (*base, index) if key is None else (*base, index, key)
            yield Finding(location, f'the same as in {base[-1]}[{first}]')
