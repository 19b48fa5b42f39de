"""The table of limits on the capacity page, and what does not fit."""

from fireflyhitch_bench.capacity_size import (
    DOMAINS,
    LIST_BYTES,
    LIST_INSTANCES,
    MB,
    NODES,
    SUBSET,
    Figures,
    cores_for_calls,
    cores_for_chunks,
    count_processes,
    demand_bytes,
    demand_core,
)


def render_limits(figures: Figures) -> str:
    """Return the table against the limits, and what does not fit."""
    peers = figures['peers_bytes_per_s_790']
    processes = count_processes(figures)
    demand = demand_bytes(figures)
    idle = figures['idle_core_share']
    rows = (
        (
            'control: 12 kB a second a node',
            f"peers {peers:,.0f} B, times {processes} processes {peers * processes:,.0f} B; limits' demand {demand:,.0f} B",
            'no',
        ),
        (
            'control: 4.1% of a core a node',
            f'one process at rest with 4 engines and 1 peer {idle:.1%}; demand reports {demand_core(figures):.0%}',
            'no',
        ),
        (
            'control: 128 MB a node',
            f'members, configuration and router of a subset: {_control_memory(figures):.1f} MB',
            'yes',
        ),
        (
            'changes in force within 4 s',
            f'{figures["configuration_hops_790"]:.0f} hops; measured with 36 daemons by `make bench NAME=config`',
            'yes',
        ),
        (
            '32 M tokens a second',
            f'{cores_for_chunks(figures):.2f} cores and {processes} processes a node',
            'yes',
        ),
        (
            '88,000 requests a second',
            f'{cores_for_calls(figures):.2f} cores a node',
            'yes',
        ),
        (
            'first token 0.92 s, gaps 68 ms (p95)',
            f'added at 400 streams a process: {figures["added_first_p95_ms_at_400"]:.0f} ms and {figures["added_gap_p95_ms_at_400"]:.1f} ms',
            _judge_latency(figures),
        ),
        (
            'store: some hundred writes a second',
            'configuration and duties fit; the ledger is paced to 300',
            'yes',
        ),
        ('store: 2,000 reads a second', 'watches and polls stay below 100', 'yes'),
        ('a failure domain reclaimed at once', 'room and pace above', 'yes'),
    )
    lines = [
        '## Against the limits',
        '',
        '| limit | worked out | fits |',
        '| --- | --- | --- |',
    ]
    lines.extend(f'| {limit} | {found} | {fits} |' for limit, found, fits in rows)
    lines.append(_render_misfits(processes))
    return '\n'.join(lines)


def _control_memory(figures: Figures) -> float:
    members = NODES / DOMAINS * figures['member_bytes_per_peer']
    router = SUBSET * figures['router_bytes_per_replica']
    return (members + router + figures['configuration_bytes_assumed']) / MB


def _judge_latency(figures: Figures) -> str:
    fits = (
        figures['gap_p95_ratio_at_400'] <= 1.1
        and figures['added_first_p95_ms_at_400'] < 200
    )
    return 'yes' if fits else 'no'


def _render_misfits(processes: int) -> str:
    return f"""
What does not fit, and the design that would:

- **Several processes a node are several members.** With {processes} processes a node the fleet has {processes * NODES:,}
  members. One process of a node should be its member and tell the others over a loopback link; the peer links
  already hand on snapshots and differences, so the loopback link is the same protocol with one peer.
- **Demand reports go from everyone to everyone.** See customers' limits above.
- **The ledger's shards are rewritten whole.** See the ledger above.
- **The instance list is read whole.** With {LIST_INSTANCES:,} instances of {LIST_BYTES} bytes a changed list is
  {LIST_INSTANCES * LIST_BYTES / 1e6:.1f} MB, and it changes all the time. Two watchers a failure domain should read it and tell
  their peers the differences, as they do with the configuration.
- **Engines' load is asked for each second.** It should come with their answers; only idle engines need asking.
- **Evidence of all 19 failure domains at one carrier** is beyond its 12 kB a second while many versions are on trial:
  it needs one more level, by region.
- **A regional cut** has been thought through and tested between failure domains, not between regions.
"""
