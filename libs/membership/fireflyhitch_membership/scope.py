"""Who does what within a failure domain, chosen by hash without any exchange.

Each daemon works the choice out from the members that it knows. Two daemons
with different views choose differently for a moment; every use tolerates that,
since messages that arrive twice do no harm and lost ones are repaired by the
digests that heartbeats carry.
"""

from collections.abc import Iterable

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId, FailureDomainId
from fireflyhitch_model.peers import Daemon, Scope

# Two, so that one may fail without any gap.
WATCHERS_PER_DOMAIN = 2
GATEWAYS_PER_DOMAIN = 2
# How many daemons of a failure domain the others know by name.
SUMMARY_MEMBERS = 8
# A failure domain of 42 is reached in three hops.
TREE_FANOUT = 4


def choose_watchers(
    domain: FailureDomainId, daemons: Iterable[Daemon]
) -> list[DaemonId]:
    """Return the daemons of a failure domain that watch the store."""
    members = members_of(domain, daemons)
    return rank_by_hash(f'watch/{domain}', members)[:WATCHERS_PER_DOMAIN]


def choose_carriers(
    domain: FailureDomainId, daemons: Iterable[Daemon]
) -> list[DaemonId]:
    """Return the daemons that exchange state with other failure domains."""
    members = members_of(domain, daemons)
    return rank_by_hash(f'carry/{domain}', members)[:GATEWAYS_PER_DOMAIN]


def choose_summary(
    domain: FailureDomainId, members: Iterable[DaemonId]
) -> list[DaemonId]:
    """Return the daemons that other failure domains know by name.

    The carriers are among them: both choices rank by the same key, so that a
    daemon elsewhere finds the carriers within the summary that it holds.
    """
    return rank_by_hash(f'carry/{domain}', members)[:SUMMARY_MEMBERS]


def choose_next_hops(
    key: str,
    here: Daemon,
    daemons: Iterable[Daemon],
    *,
    is_entry: bool,
) -> list[DaemonId]:
    """Return to whom a daemon hands a message on within its failure domain.

    Members form a tree that differs from message to message, so that no daemon
    carries more than its share.

    :param key: names the message.
    :param is_entry: whether the message enters the failure domain here.
    """
    ranked = rank_by_hash(key, members_of(here.failure_domain, daemons))
    hops = ranked[:TREE_FANOUT] if is_entry else []
    if here.daemon_id in ranked:
        first = TREE_FANOUT * (ranked.index(here.daemon_id) + 1)
        hops = hops + ranked[first : first + TREE_FANOUT]
    return [hop for hop in hops if hop != here.daemon_id]


def choose_first_hops(
    key: str, here: Daemon, daemons: Iterable[Daemon], scope: Scope
) -> list[DaemonId]:
    """Return to whom the origin of a message sends it."""
    known = tuple(daemons)
    hops = choose_next_hops(key, here, known, is_entry=True)
    if scope is Scope.FAILURE_DOMAIN:
        return hops
    elsewhere = {daemon.failure_domain for daemon in known} - {here.failure_domain}
    for domain in sorted(elsewhere):
        hops.extend(choose_carriers(domain, known))
    return hops


def members_of(domain: FailureDomainId, daemons: Iterable[Daemon]) -> list[DaemonId]:
    """Return the ids of a failure domain's daemons."""
    return [daemon.daemon_id for daemon in daemons if daemon.failure_domain == domain]
