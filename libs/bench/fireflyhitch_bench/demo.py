"""The main job on loopback for both sites, with faults: ``make demo``.

While callers ask and book, a backend server's instance and a daemon's own are
reclaimed, a bad version is moved to and taken back, and the key-value service
goes away for a while. Each answer is checked against the one it has to be.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field, replace

from fireflyhitch_bench.demo_callers import Tally, run_callers
from fireflyhitch_bench.demo_faults import BAD_ENGINE, Teller, run_faults
from fireflyhitch_bench.processes import ProcessGroup
from fireflyhitch_bench.site import (
    BRANDVEILIG,
    ZAPESTNICE,
    Site,
    SitePlan,
    start_site,
)

JOB_SECONDS = 22.0


@dataclass(slots=True)
class DemoResult:
    """What became of both sites' calls."""

    tally: Tally = field(default_factory=Tally)
    started: float = field(default_factory=time.monotonic)

    def render(self) -> str:
        """Return the last line, for programs."""
        return json.dumps(
            {
                'accepted': self.tally.accepted,
                'answered': self.tally.answered,
                'refused': self.tally.refused,
                'lost': self.tally.lost,
                'doubled': self.tally.doubled,
                'mixed_up': self.tally.mixed_up,
                'seconds': round(time.monotonic() - self.started, 1),
            }
        )


def main() -> int:
    """Serve both sites under faults and print what became of the calls."""
    demo = DemoResult()
    for plan in (BRANDVEILIG, ZAPESTNICE):
        with ProcessGroup() as group:
            _run_site(group, plan, demo)
    print(demo.render())
    return 0


def _run_site(group: ProcessGroup, plan: SitePlan, demo: DemoResult) -> None:
    say = _make_teller(plan, time.monotonic())
    say(f'{plan.daemons} daemons, {plan.engines} engines, {plan.services} services')
    site = start_site(group, replace(plan, new_engine=BAD_ENGINE))
    say('ready')
    tally = asyncio.run(_run_job(site, say))
    tally.doubled = sum(
        times > 1 for times in site.call_platform('GET', '/standin/runs').values()
    )
    say(
        f'{tally.accepted} accepted, {tally.answered} answered, '
        f'{tally.refused} refused, {tally.lost} lost, {tally.doubled} doubled, '
        f'{tally.mixed_up} mixed up, {tally.resumed} gone on with elsewhere'
    )
    demo.tally.add(tally)


async def _run_job(site: Site, say: Teller) -> Tally:
    tally = Tally()
    faults = asyncio.create_task(run_faults(site, say))
    await run_callers(site, tally, JOB_SECONDS)
    await faults
    return tally


def _make_teller(plan: SitePlan, started: float) -> Teller:
    def say(event: str) -> None:
        elapsed = time.monotonic() - started
        print(f'{plan.model:22} {elapsed:5.1f} s  {event}', flush=True)

    return say


if __name__ == '__main__':
    sys.exit(main())
