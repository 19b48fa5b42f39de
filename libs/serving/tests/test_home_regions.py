"""Tests that requests stay in the regions that operators name."""

from dataclasses import replace

import pytest
from scene import (
    CUSTOMER,
    KEY,
    REMOTE_DOMAIN,
    ROUTE,
    UNLIMITED,
    RequestHarness,
    make_catalog,
    run_scenario,
)
from scripted_servers import respond

from fireflyhitch_model.ids import RegionId
from fireflyhitch_serving.catalog import Catalog, Customer


class TestHomeRegions:
    @pytest.mark.parametrize('owner', ['route', 'customer'])
    def test_request_stays_in_its_home_regions(self, owner: str) -> None:
        # The regions that operators named were not read, and any server got it.
        harness = RequestHarness(make_home_catalog(owner))

        async def script(harness: RequestHarness) -> None:
            abroad = await harness.add(
                'abroad', respond(200, b'done'), failure_domain=REMOTE_DOMAIN
            )
            home = await harness.add('home', respond(200, b'done'))
            for number in range(8):
                response = await harness.ask(request_id=f'r{number}')
                assert response.status == 200
            assert not abroad.seen
            assert len(home.seen) == 8

        run_scenario(harness, script)

    def test_request_without_a_server_at_home_is_refused(self) -> None:
        harness = RequestHarness(make_home_catalog('route'))

        async def script(harness: RequestHarness) -> None:
            abroad = await harness.add(
                'abroad', respond(200, b'done'), failure_domain=REMOTE_DOMAIN
            )
            response = await harness.ask()
            assert response.status == 503
            assert response.headers['x-outcome'] == 'not-run'
            assert not abroad.seen

        run_scenario(harness, script)


def make_home_catalog(owner: str) -> Catalog:
    """Return a configuration whose route or customer has one home region."""
    homes = frozenset((RegionId('flanders'),))
    if owner == 'route':
        return make_catalog(routes=(replace(ROUTE, home_regions=homes),))
    customer = Customer(CUSTOMER, UNLIMITED, home_regions=homes)
    return make_catalog(customers={KEY: customer})


class TestBoth:
    def test_regions_of_route_and_customer_both_bind(self) -> None:
        # With no region in common there is no server, whatever each allows alone.
        route = replace(ROUTE, home_regions=frozenset((RegionId('flanders'),)))
        homes = frozenset((RegionId('wallonia'),))
        customer = Customer(CUSTOMER, UNLIMITED, home_regions=homes)
        catalog = make_catalog(routes=(route,), customers={KEY: customer})

        async def script(harness: RequestHarness) -> None:
            await harness.add('home', respond(200, b'done'))
            await harness.add(
                'abroad', respond(200, b'done'), failure_domain=REMOTE_DOMAIN
            )
            assert (await harness.ask()).status == 503

        run_scenario(RequestHarness(catalog), script)
