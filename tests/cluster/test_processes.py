"""Processes of the daemon with relays between: one that stands still while the list tells of a drain."""

from __future__ import annotations

import asyncio
from pathlib import Path

from fakes.cluster.play import cluster
from fakes.cluster.schedule import checked

STOPPED = {
    "seed": 7,
    "seconds": 5.0,
    "instances": 2,
    "servers": 3,
    "per_s": 40.0,
    "deadline_s": 3.0,
    "events": [
        {"at": 0.5, "do": "stop", "instances": [0]},
        {"at": 0.8, "do": "drain", "servers": [1]},
        {"at": 3.5, "do": "wake", "instances": [0]},
    ],
}


def test_a_process_that_was_stopped_sends_nothing_to_what_was_drained_meanwhile(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(checked(STOPPED), tmp_path) as it:
            verdict = await it.play()
            await it.instances[0].ready()
            status = (await it.instances[0].status())["recovery"]
            assert status["gaps"] >= 1
            assert status["longest_gap_s"] > 2.0
            assert verdict.rules == []
            assert verdict.counts["served"]
            assert it.shops[1].runs
            assert "process paused" in it.instances[0].log()

    asyncio.run(test())
