"""A process that opens streams and tells the times that it saw."""

import argparse
import asyncio
import json
import sys

from fireflyhitch_bench.load import CallResult, chat_spec, make_call

# Streams begin over this time, as callers do, rather than at one instant.
RAMP_SECONDS = 4.0


def main() -> int:
    """Open streams at one address and print a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('address')
    parser.add_argument('model')
    parser.add_argument('key')
    parser.add_argument('--streams', type=int, default=100)
    parser.add_argument('--tokens', type=int, default=200)
    options = parser.parse_args()
    results = asyncio.run(_run(options))
    gaps = sorted(gap for result in results for gap in result.gaps)
    firsts = sorted(result.first_seconds for result in results if result.arrivals)
    print(
        json.dumps(
            {
                'answered': sum(result.answered for result in results),
                'chunks': sum(len(result.arrivals) for result in results),
                'first_p50': pick(firsts, 0.5),
                'first_p95': pick(firsts, 0.95),
                'gap_p50': pick(gaps, 0.5),
                'gap_p95': pick(gaps, 0.95),
                'gap_p99': pick(gaps, 0.99),
            }
        )
    )
    return 0


def pick(ordered: list[float], share: float) -> float:
    """Return a quantile of ordered figures."""
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _run(options: argparse.Namespace) -> list[CallResult]:
    pause = RAMP_SECONDS / options.streams
    calls = [
        _call(options, number, number * pause) for number in range(options.streams)
    ]
    return list(await asyncio.gather(*calls))


async def _call(options: argparse.Namespace, number: int, delay: float) -> CallResult:
    await asyncio.sleep(delay)
    spec = chat_spec(
        options.address,
        options.model,
        f'stream {number} of {options.streams}',
        options.key,
        max_tokens=options.tokens,
    )
    return await make_call(spec)


if __name__ == '__main__':
    sys.exit(main())
