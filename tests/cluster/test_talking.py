"""Processes that know one another, with lossy links and a cut between: what they think of each other and of a
server that fails."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from fakes.cluster.play import Cluster, cluster
from fakes.cluster.schedule import checked
from tests.net import PATIENCE_S

PLAY = {
    "seed": 3,
    "seconds": 6.0,
    "instances": 4,
    "servers": 4,
    "per_s": 60.0,
    "unsafe": 0.3,
    "deadline_s": 3.0,
    "fellows": True,
    "events": [
        {"at": 0.0, "do": "blur", "loss": 0.3, "repeats": 0.1, "reordered": 0.1, "jitter": 0.01},
        {"at": 1.0, "do": "failing", "servers": [2]},
        {"at": 5.0, "do": "split", "instances": [0], "others": [1, 2, 3]},
    ],
}


async def told(it: Cluster, number: int) -> dict[str, Any]:
    return await it.instances[number].status()


async def until_states(it: Cluster, at: int, wanted: set[str], patience_s: float = 2 * PATIENCE_S) -> None:
    """Until one thinks so of the others."""
    ends = time.monotonic() + patience_s
    while True:
        fellows = (await told(it, at)).get("fellows", {}).get("fellows", {})
        states = {each["state"] for each in fellows.values()}
        if len(fellows) == 3 and states <= wanted:
            return
        assert time.monotonic() < ends, (at, fellows)
        await asyncio.sleep(0.1)


def test_processes_over_lossy_links_avoid_what_some_saw_fail_and_a_cut_one_judges_nobody(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with cluster(checked(PLAY), tmp_path) as it:
            for number in range(4):
                await until_states(it, number, {"alive", "suspect"})
            verdict = await it.play()
            assert verdict.rules == []
            bad = it.shops[2]
            assert it.switch is not None
            assert it.switch.passed > 100
            assert it.switch.lost > 20
            others = sum(len(shop.runs) for shop in it.shops if shop is not bad) / 3
            failed = [run for run in bad.runs if run.at > it.begins + 1.0]
            assert 0 < len(failed) < 0.5 * others
            # cut off, one hears nobody and judges nobody; the others hear one another, and give it up
            await until_states(it, 1, {"alive", "suspect", "silent"})
            ends = time.monotonic() + 2 * PATIENCE_S
            while not (await told(it, 0))["fellows"]["alone"]:
                assert time.monotonic() < ends
                await asyncio.sleep(0.1)
            mine = (await told(it, 0))["fellows"]["fellows"]
            assert all(each["state"] != "silent" for each in mine.values())
            assert it.switch is not None
            for way in it.switch.ways.values():
                way.mend()
            for number in range(4):
                await until_states(it, number, {"alive"})

    asyncio.run(test())
