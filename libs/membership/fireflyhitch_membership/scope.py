"""Role assignment within a failure domain by rendezvous hashing.

Each daemon computes the assignment from its own member table, without coordination.
Two daemons with different tables may disagree for a moment. All uses tolerate that:
duplicate messages are harmless, and lost ones are repaired by the digests in
heartbeats.
"""

from collections.abc import Iterable

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId, FailureDomainId
from fireflyhitch_model.peers import Daemon, Scope

# Two, so that one may fail without an interruption.
WATCHERS_PER_DOMAIN = 2
GATEWAYS_PER_DOMAIN = 2
# How many members of a failure domain are recorded in other domains.
SUMMARY_MEMBERS = 8
# Three hops reach all daemons of a failure domain of 42.
TREE_FANOUT = 4


def choose_watchers(
    domain: FailureDomainId, daemons: Iterable[Daemon]
) -> list[DaemonId]:
    """Return the daemons of a failure domain that watch the store."""
    members = members_of(domain, daemons)
    return rank_by_hash(f'watch/{domain}', members)[:WATCHERS_PER_DOMAIN]


def choose_gateways(
    domain: FailureDomainId, daemons: Iterable[Daemon]
) -> list[DaemonId]:
    """Return the daemons that exchange state with other failure domains."""
    members = members_of(domain, daemons)
    return rank_by_hash(f'carry/{domain}', members)[:GATEWAYS_PER_DOMAIN]


def choose_summary(
    domain: FailureDomainId, members: Iterable[DaemonId]
) -> list[DaemonId]:
    """Return the members of a failure domain that other domains record.

    They include the gateways: both choices rank by the same key, so that a daemon of
    another domain finds the gateways in its summary.
    """
    return rank_by_hash(f'carry/{domain}', members)[:SUMMARY_MEMBERS]


def choose_next_hops(
    key: str,
    local_daemon: Daemon,
    daemons: Iterable[Daemon],
    *,
    is_entry: bool,
) -> list[DaemonId]:
    """Return the daemons to which a daemon forwards a message in its failure domain.

    Members form a tree that differs per message, which spreads the load evenly.

    :param key: identifies the message.
    :param is_entry: whether the message enters the failure domain at this daemon.
    """
    ranked = rank_by_hash(key, members_of(local_daemon.failure_domain, daemons))
    hops = ranked[:TREE_FANOUT] if is_entry else []
    if local_daemon.daemon_id in ranked:
        first = TREE_FANOUT * (ranked.index(local_daemon.daemon_id) + 1)
        hops = hops + ranked[first : first + TREE_FANOUT]
    return [hop for hop in hops if hop != local_daemon.daemon_id]


def choose_first_hops(
    key: str, local_daemon: Daemon, daemons: Iterable[Daemon], scope: Scope
) -> list[DaemonId]:
    """Return the daemons to which the origin of a message sends it."""
    known = tuple(daemons)
    hops = choose_next_hops(key, local_daemon, known, is_entry=True)
    if scope is Scope.FAILURE_DOMAIN:
        return hops
    other_domains = {daemon.failure_domain for daemon in known} - {
        local_daemon.failure_domain
    }
    for domain in sorted(other_domains):
        hops.extend(choose_gateways(domain, known))
    return hops


def members_of(domain: FailureDomainId, daemons: Iterable[Daemon]) -> list[DaemonId]:
    """Return the ids of a failure domain's daemons."""
    return [daemon.daemon_id for daemon in daemons if daemon.failure_domain == domain]
