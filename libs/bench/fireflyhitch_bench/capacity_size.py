"""The size to come, and what the slopes make of it for each node."""

import math
from collections.abc import Mapping

NODES = 790
DOMAINS = 19
REPLICAS = 10_000
REQUESTS = 88_000
TOKENS = 32_000_000
CHANGES_A_DAY = 42_000
FAILED_A_DAY = 79
REPLACED_A_DAY = 1_700
RECLAIMABLE = 0.61
DAY = 86_400
STORE_READS = 2_000
STORE_WRITES = 300
# Assumptions, stated on the page: what the letter does not give.
TOKENS_A_STREAM_S = 20.0
TOKENS_AN_ANSWER = 364.0
CUSTOMERS = 400
DEPLOYMENTS = 40
ROUTES = 4
SUBSET = 40
PROCESS_SHARE = 0.6
MOVES_AT_ONCE = 20
CLAIM_SHARE = 0.001
MB = 1e6
# A trial with the client of the instance list.
LIST_INSTANCES = 10_790
LIST_BYTES = 408

Figures = Mapping[str, float]


def share_of_node(total: float) -> float:
    """Return a node's share of a figure of the fleet."""
    return total / NODES


def cores_for_chunks(figures: Figures) -> float:
    """Return the cores that a node spends on chunks."""
    return share_of_node(TOKENS) * figures['relay_us_per_chunk'] / 1e6


def cores_for_calls(figures: Figures) -> float:
    """Return the cores that a node spends on all else of calls."""
    return share_of_node(REQUESTS) * figures['call_us'] / 1e6


def count_processes(figures: Figures) -> int:
    """Return how many daemon processes a node needs."""
    cores = cores_for_chunks(figures) + cores_for_calls(figures)
    by_core = math.ceil(cores / PROCESS_SHARE)
    by_streams = math.ceil(count_streams() / 400)
    return max(by_core, by_streams)


def count_streams() -> float:
    """Return how many streams a node has open."""
    return share_of_node(TOKENS) / TOKENS_A_STREAM_S


def demand_bytes(figures: Figures) -> float:
    """Return the bytes a second of demand reports at a node."""
    report = figures['demand_bytes_per_customer_base']
    report += figures['demand_bytes_per_customer'] * CUSTOMERS
    return 2 * NODES * report


def demand_core(figures: Figures) -> float:
    """Return the core share of demand reports at a node."""
    report = figures['demand_us_per_customer_base']
    report += figures['demand_us_per_customer'] * CUSTOMERS
    return NODES * report / 1e6
