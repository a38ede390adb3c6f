"""`python -m fakes.cluster SCHEDULE [--seed N]`: plays a schedule, exits with 1 if a rule broke."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

from fakes.cluster.play import cluster
from fakes.cluster.schedule import Schedule, ScheduleError, load


async def played(schedule: Schedule, folder: Path) -> int:
    """Play a schedule, print what happened and each rule that broke; returns the exit code."""
    async with cluster(schedule, folder) as it:
        verdict = await it.play()
        for line in it.told:
            print(line)
        for instance in it.instances:
            status = await instance.status()
            recovery = status.get("recovery", {})
            print(
                f"instance {instance.number}: {recovery.get('phase', 'no answer')}, "
                f"stood still {recovery.get('gaps', 0)} times, "
                f"last back after {recovery.get('to_full_s')} s"
            )
    for shop in it.shops:
        print(f"{shop.name}: {len(shop.runs)} requests, {shop.worst_second()} in its worst second")
    print(verdict.figures())
    for line in verdict.broken:
        print(f"BROKEN {line}")
    return 1 if verdict.broken else 0


def main() -> int:
    """Read the schedule and play it; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m fakes.cluster")
    parser.add_argument("schedule", type=Path)
    parser.add_argument("--seed", type=int)
    told = parser.parse_args()
    try:
        schedule = load(told.schedule)
    except (ScheduleError, OSError) as error:
        print(f"{told.schedule}: {error}", file=sys.stderr)
        return 2
    if told.seed is not None:
        schedule = replace(schedule, seed=told.seed)
    print(f"seed {schedule.seed}")
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(played(schedule, Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
