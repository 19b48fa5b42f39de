"""Consistency checks across the fields of a configuration."""

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

# Deployment names are used in request paths and store keys.
SAFE_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
METHOD = re.compile('[A-Z]+')

Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """An inconsistency in a configuration.

    :param location: path of the value.
    """

    location: Location
    message: str


def check_configuration(
    configuration: Configuration, now: datetime | None = None
) -> tuple[Finding, ...]:
    """Return all inconsistencies of a configuration.

    :param now: wall clock time that move dates must be after; ``None`` if the
        configuration was accepted earlier and its dates may have passed.
    """
    findings: list[Finding] = []
    for index, deployment in enumerate(configuration.deployments):
        parent = ('deployments', index)
        findings.extend(_check_deployment(parent, deployment))
        findings.extend(_check_move(parent, deployment, now))
        findings.extend(_check_customers(parent, deployment, configuration))
    findings.extend(_check_names(configuration))
    return tuple(findings)


def _check_names(configuration: Configuration) -> Iterator[Finding]:
    customers = configuration.customers
    names = [deployment.name for deployment in configuration.deployments]
    yield from _find_duplicates('deployments', 'name', names)
    ids = [customer.customer_id for customer in customers]
    yield from _find_duplicates('customers', 'customer_id', ids)
    keys = [customer.api_key_sha256 for customer in customers]
    yield from _find_duplicates('customers', 'api_key_sha256', keys)
    for index, customer in enumerate(customers):
        yield from _check_customer(('customers', index), customer)


def _check_customer(parent: Location, customer: Customer) -> Iterator[Finding]:
    if not SAFE_NAME.fullmatch(customer.customer_id):
        message = 'may hold only letters, digits, dots, dashes and underscores'
        yield Finding((*parent, 'customer_id'), message)


def _check_deployment(parent: Location, deployment: Deployment) -> Iterator[Finding]:
    if not SAFE_NAME.fullmatch(deployment.name):
        message = 'may hold only letters, digits, dots, dashes and underscores'
        yield Finding((*parent, 'name'), message)
    domains = deployment.failure_domains
    yield from _find_duplicates((*parent, 'failure_domains'), None, domains)
    yield from _check_prices(parent, deployment)
    capacity = deployment.capacity
    if capacity.min_servers > capacity.max_servers:
        message = f'{capacity.min_servers} is above max_servers {capacity.max_servers}'
        yield Finding((*parent, 'capacity', 'min_servers'), message)
    if isinstance(deployment, ServiceDeployment):
        for index, method in enumerate(deployment.non_repeatable_methods):
            if not METHOD.fullmatch(method):
                location = (*parent, 'non_repeatable_methods', index)
                yield Finding(location, f'{method!r} is no method in upper case')


def _check_prices(parent: Location, deployment: Deployment) -> Iterator[Finding]:
    entries = [
        (entry.failure_domain, entry.machine_class.value) for entry in deployment.prices
    ]
    yield from _find_duplicates((*parent, 'prices'), None, entries)
    for index, entry in enumerate(deployment.prices):
        if entry.failure_domain not in deployment.failure_domains:
            location = (*parent, 'prices', index, 'failure_domain')
            message = f'{entry.failure_domain!r} is no failure domain of the deployment'
            yield Finding(location, message)


def _check_move(
    parent: Location, deployment: Deployment, now: datetime | None
) -> Iterator[Finding]:
    move = deployment.move
    if move is None:
        return
    if move.to_version == deployment.version:
        message = f'the deployment has version {move.to_version!r} already'
        yield Finding((*parent, 'move', 'to_version'), message)
    if now is not None and move.move_by <= now:
        message = f'{move.move_by.isoformat()} has passed'
        yield Finding((*parent, 'move', 'move_by'), message)


def _check_customers(
    parent: Location, deployment: Deployment, configuration: Configuration
) -> Iterator[Finding]:
    known = {customer.customer_id for customer in configuration.customers}
    for index, customer in enumerate(deployment.customers):
        if customer not in known:
            message = f'{customer!r} is no customer of this configuration'
            yield Finding((*parent, 'customers', index), message)


def _find_duplicates(
    parent: str | Location, key: str | None, entries: Iterable[object]
) -> Iterator[Finding]:
    base: Location = (parent,) if isinstance(parent, str) else parent
    first_indexes: dict[object, int] = {}
    for index, entry in enumerate(entries):
        first = first_indexes.setdefault(entry, index)
        if first != index:
            location = (*base, index) if key is None else (*base, index, key)
            yield Finding(location, f'the same as in {base[-1]}[{first}]')
