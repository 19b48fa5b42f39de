"""Tests of role assignment and broadcast trees."""

import pytest

from fireflyhitch_membership.scope import (
    choose_first_hops,
    choose_gateways,
    choose_next_hops,
    choose_summary,
    choose_watchers,
)
from fireflyhitch_model.peers import Daemon, Scope


def make_daemons(domains, each):
    return [
        Daemon(f'{domain}-{number}', f'd{domain}', 'p', 'e')
        for domain in range(domains)
        for number in range(each)
    ]


def count_hops(origin, daemons, scope):
    """Return the number of hops at which each daemon first receives a message."""
    by_id = {daemon.daemon_id: daemon for daemon in daemons}
    hops = {origin.daemon_id: 0}
    senders = [(origin, choose_first_hops('m', origin, daemons, scope))]
    while senders:
        sender, targets = senders.pop(0)
        for target in targets:
            if target in hops:
                continue
            hops[target] = hops[sender.daemon_id] + 1
            receiver = by_id[target]
            is_entry = receiver.failure_domain != sender.failure_domain
            following = choose_next_hops('m', receiver, daemons, is_entry=is_entry)
            senders.append((receiver, following))
    return hops


class TestTree:
    """Broadcasts to all daemons of a scope."""

    @pytest.mark.parametrize(('domains', 'each'), [(4, 1), (4, 2), (4, 9), (19, 42)])
    def test_all_daemons_are_reached_in_few_hops(self, domains, each):
        daemons = make_daemons(domains, each)
        hops = count_hops(daemons[0], daemons, Scope.EVERYWHERE)
        assert len(hops) == len(daemons)
        assert max(hops.values()) <= 4

    def test_domain_scope_stays_in_the_domain(self):
        daemons = make_daemons(4, 9)
        reached = count_hops(daemons[0], daemons, Scope.FAILURE_DOMAIN)
        assert reached.keys() == {daemon.daemon_id for daemon in daemons[:9]}


class TestChoices:
    """Roles assigned by hash."""

    def test_gateways_are_part_of_the_summary(self):
        daemons = make_daemons(1, 42)
        summary = choose_summary('d0', [one.daemon_id for one in daemons])
        recorded = [one for one in daemons if one.daemon_id in summary]
        gateways = choose_gateways('d0', daemons)
        assert gateways == choose_gateways('d0', recorded)

    def test_loss_of_a_watcher_moves_only_its_own_role(self):
        daemons = make_daemons(1, 9)
        first, second = choose_watchers('d0', daemons)
        rest = [one for one in daemons if one.daemon_id != first]
        assert choose_watchers('d0', rest)[0] == second
