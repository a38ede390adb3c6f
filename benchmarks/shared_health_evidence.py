"""What a fleet saves by telling of servers: `python -m benchmarks.shared_health_evidence`.

Processes of the daemon with a switch of lossy links between them (fakes/cluster), the same outages with
judgements shared, with none, and by an oracle that drains the bad servers at the moment they go bad.
Counted from that moment: attempts that reach bad servers, by when nine in ten of what would reach them goes
elsewhere, by when they are used again once they are well, and what is served. Bars: shared at most 0.35 of
the failed attempts without, goodput never below `off` by more than 2 %, with a tenth of liars by 5 %; no
rule broken.
"""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.report import Bar, chosen, close, outage_parser, table
from fakes.cluster.play import Cluster, cluster
from fakes.cluster.schedule import Schedule, checked

SERVERS = 8
BAD_S, WELL_S = 3.0, 13.0  # a server goes bad, and is well again
ENDS_S = 25.0
LOSS = 0.1
WINDOW_S = 0.5
MOST_FAILED, LEAST_GOODPUT, LEAST_WITH_LIARS = 0.35, 0.98, 0.95
WAYS = ("shared", "off", "oracle")


@dataclass(frozen=True)
class Case:
    """An outage: which servers do what, what happens to the talk, and how many lie."""

    name: str
    bad: tuple[int, ...] = (1,)
    do: str = "failing"
    talk: tuple[dict[str, Any], ...] = ()
    liars: float = 0.0
    barred: bool = True  # whether the share of failed attempts has a bar


def cases(instances: int) -> list[Case]:
    """All cases for a fleet of this size."""
    half = list(range(instances // 2))
    rest = list(range(instances // 2, instances))
    return [
        Case("one fails"),
        Case("a quarter fails", (1, 2)),
        Case("one is silent", do="silent"),
        Case("one fails, 30 % lost", talk=({"at": 0.0, "do": "blur", "loss": 0.3, "repeats": 0.05},)),
        Case(
            "one fails, split in halves",
            talk=(
                {"at": 1.0, "do": "split", "instances": half, "others": rest},
                {"at": WELL_S, "do": "heal", "instances": half, "others": rest},
            ),
        ),
        Case("one fails, a tenth lies", liars=0.1, barred=False),
        Case("none fails, a tenth lies", bad=(), liars=0.1, barred=False),
    ]


def schedule(case: Case, way: str, instances: int, per_s: float, seed: int) -> Schedule:
    """The schedule of a case under one of the ways that are compared."""
    bad = list(case.bad)
    goes = {"oracle": "drain"}.get(way, case.do)
    events: list[dict[str, Any]] = [{"at": 0.0, "do": "blur", "loss": LOSS, "jitter": 0.005}, *case.talk]
    if bad:
        events += [
            {"at": BAD_S, "do": goes, "servers": bad},
            {"at": WELL_S, "do": "undrain" if way == "oracle" else "well", "servers": bad},
        ]
    return checked(
        {
            "seed": seed,
            "seconds": ENDS_S,
            "instances": instances,
            "servers": SERVERS,
            "per_s": per_s,
            "unsafe": 0.5,
            "deadline_s": 3.0,
            "answer_s": 0.01,
            "fellows": True,
            "judgements": way == "shared",
            "liars": round(case.liars * instances) if way == "shared" else 0,
            "events": events,
        }
    )


@dataclass(frozen=True)
class Told:
    """One play's figures."""

    failed: int  # attempts that reached bad servers while they were bad
    avoided_s: float  # till nine in ten of their share went elsewhere
    back_s: float  # till half of their share reached them again
    goodput: float  # served of what was sent while they were bad
    goodput_all: float
    rules: int


def share_at(it: Cluster, bad: tuple[int, ...], at: float) -> float:
    """Of the part that bad servers would have by number, what they got in a window of the play."""
    begins, ends = it.begins + at, it.begins + at + WINDOW_S
    runs = [sum(begins <= run.at < ends for run in shop.runs) for shop in it.shops]
    whole = sum(runs)
    return sum(runs[number] for number in bad) / (whole * len(bad) / len(runs)) if whole else 0.0


def served(it: Cluster, begins: float, ends: float) -> float:
    """The part that was served of what was sent between two times, in seconds from the start."""
    sent = [one for one in it.load.sent if it.begins + begins <= one.sent < it.begins + ends]
    return sum(one.status == 200 for one in sent) / max(1, len(sent))


def figures_of(it: Cluster, case: Case, rules: int) -> Told:
    """The figures of a play: how soon bad servers were avoided and used again, and what was served."""
    step = WINDOW_S / 2
    times = [BAD_S + number * step for number in range(int((WELL_S - BAD_S) / step))]
    avoided = next(
        (at - BAD_S for at in times if case.bad and share_at(it, case.bad, at) <= 0.1),
        WELL_S - BAD_S if case.bad else 0.0,
    )
    after = [WELL_S + number * step for number in range(int((ENDS_S - WELL_S - 1.0) / step))]
    back = next(
        (at - WELL_S for at in after if case.bad and share_at(it, case.bad, at) >= 0.5),
        ENDS_S - WELL_S if case.bad else 0.0,
    )
    failed = sum(
        it.begins + BAD_S <= run.at < it.begins + WELL_S
        for number in case.bad
        for run in it.shops[number].runs
    )
    return Told(failed, avoided, back, served(it, BAD_S, WELL_S), served(it, 1.0, ENDS_S), rules)


async def played(case: Case, way: str, instances: int, per_s: float, seed: int, folder: Path) -> Told:
    """Play a case on a cluster of processes, once all instances know one another."""
    async with cluster(schedule(case, way, instances, per_s, seed), folder) as it:
        ends = asyncio.get_running_loop().time() + 30.0
        while asyncio.get_running_loop().time() < ends:  # till they know one another
            statuses = await asyncio.gather(*(each.status() for each in it.instances))
            if all(each.get("fellows", {}).get("size", 0) == instances for each in statuses):
                break
            await asyncio.sleep(0.2)
        verdict = await it.play()
        return figures_of(it, case, len(verdict.rules))


def main() -> int:
    """Run the cases under each way and print their table; returns 1 if a bar is missed or a rule broke."""
    parser = outage_parser("shared_health_evidence")
    parser.add_argument("--rate", type=float, default=240.0, help="requests a second of all together")
    asked = parser.parse_args()
    rows: list[list[object]] = []
    figures: dict[str, object] = {}
    bars: list[Bar] = []
    rules = 0
    for case in chosen(cases(asked.instances), asked.case):
        by_way = {}
        for way in WAYS:
            with tempfile.TemporaryDirectory() as folder:
                each = by_way[way] = asyncio.run(
                    played(case, way, asked.instances, asked.rate, asked.seed, Path(folder))
                )
            rows.append(
                [
                    case.name,
                    way,
                    each.failed,
                    each.avoided_s,
                    each.back_s,
                    each.goodput,
                    each.goodput_all,
                    each.rules,
                ]
            )
            figures[f"{case.name}, {way}"] = {
                "failed": each.failed,
                "avoided_s": each.avoided_s,
                "back_s": each.back_s,
                "goodput": round(each.goodput, 4),
                "goodput_all": round(each.goodput_all, 4),
            }
            rules += each.rules
        shared, off = by_way["shared"], by_way["off"]
        if case.barred:
            bars.append(
                Bar(
                    f"{case.name}: attempts at bad ones, of those without",
                    shared.failed / max(1, off.failed),
                    MOST_FAILED,
                )
            )
        least = LEAST_WITH_LIARS if case.liars else LEAST_GOODPUT
        bars.append(
            Bar(
                f"{case.name}: goodput off, of goodput shared",
                off.goodput_all / max(1e-9, shared.goodput_all),
                1 / least,
            )
        )
    table(
        [
            "case",
            "",
            "at bad ones",
            "avoided after s",
            "used again after s",
            "goodput while bad",
            "in all",
            "rules broken",
        ],
        rows,
    )
    return close("shared_health_evidence", figures, [Bar("rules broken", rules, 0.0), *bars])


if __name__ == "__main__":
    raise SystemExit(main())
