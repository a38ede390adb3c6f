"""Instances that die, lose their state or stand still, all at once: `python -m benchmarks.coming_back`.

Processes of the daemon with relays between them and their servers (fakes/cluster), clients with an open
loop, one play a case. Told for each: how long until 95 % of what was served before is served again, the
worst second at one server beside its worst one before, what was refused. Bars: nothing lost, doubled, made up
or sent to a drained server; the time to 95 % where one is aimed at; no server's worst second over 1.3 of the
one before, times as much more as each has where servers drain or are cold. `stood still, plain loop` is the
same play without what notices a gap, to compare with, and has no bar. Clients that come again ask for more
than before; there the worst second has no bar.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.report import Bar, chosen, close, outage_parser, table
from fakes.cluster.judge import Verdict
from fakes.cluster.load import Sent
from fakes.cluster.play import Cluster, cluster
from fakes.cluster.schedule import Schedule, checked

FAULT_S = 4.0
BACK_S = 0.5  # from a kill to the processes' start
STILL_S = 4.0  # for how long a process stands still
WINDOW_S = 0.5
SERVED_AGAIN = 0.95
WITH_STATE_S, WITHOUT_S = 2.0, 5.0
MOST_AT_A_SERVER = 1.3  # its worst second afterwards, beside its worst one before
SERVERS = 8
SLOTS = 2  # of one server
ANSWER_S = 0.04
COLD_SHARE = 0.3  # as pools have it by default
LOAD = 0.6  # of what the servers can do


@dataclass(frozen=True)
class Case:
    """A kind of outage: events from the fault on, by its time. `back_s`: within which 95 % is to be served
    again, from the moment when the processes are there again; 0: nothing is aimed at."""

    name: str
    events: tuple[dict[str, Any], ...]
    begins_s: float  # from the fault to the processes' being there again
    back_s: float = 0.0
    servers: float = SERVERS  # that carry the load afterwards, cold ones by what they can do
    plain_loop: bool = False
    slow_start: bool = True
    tries: int = 1  # of a client that is refused


def cases(instances: int) -> list[Case]:
    """Seven in ten instances have the fault."""
    down = list(range(max(1, instances * 7 // 10)))
    late = list(range(len(down), instances))

    def at(when: float, do: str, who: list[int] = down, what: str = "instances") -> dict[str, Any]:
        return {"at": when, "do": do, what: who}

    def killed(*more: dict[str, Any], after: float = BACK_S) -> tuple[dict[str, Any], ...]:
        return (at(0.0, "kill"), *more, at(after, "start"))

    def later(events: tuple[dict[str, Any], ...]) -> list[dict[str, Any]]:
        return [each | {"at": each["at"] + 0.6} for each in events]

    drained = at(0.2, "drain", [1, 2], "servers")
    still = (at(0.0, "stop"), at(0.5, "drain", [1], "servers"), at(STILL_S, "wake"))
    often = tuple(
        at(0.4 * number + back, do) for number in range(10) for do, back in (("kill", 0.0), ("start", 0.2))
    )
    return [
        Case("killed, with state", killed(), BACK_S, WITH_STATE_S),
        Case("killed, state lost", killed(at(0.1, "lose_state")), BACK_S, WITHOUT_S),
        Case(
            "killed, state from before a drain",
            (at(0.0, "keep_state"), drained, *later(killed(at(0.1, "old_state")))),
            BACK_S + 0.6,
            WITH_STATE_S,
            SERVERS - 2,
        ),
        Case(
            "killed, half of the servers replaced meanwhile",
            killed(at(0.2, "replace", list(range(SERVERS // 2)), "servers")),
            BACK_S,
            servers=SERVERS / 2 * (1 + COLD_SHARE),
        ),
        Case(
            "killed, disk full while servers drain",
            (at(0.0, "fill_disk"), drained, *later(killed())),
            BACK_S + 0.6,
            WITH_STATE_S,
            SERVERS - 2,
        ),
        Case(
            "killed, no list until 3 s after the start",
            killed(at(0.1, "hide_list")) + (at(BACK_S + 3.0, "show_list"),),
            BACK_S,
            WITH_STATE_S,
        ),
        Case("killed ten times in a row", often, 0.4 * 9 + 0.2, WITH_STATE_S),
        Case(
            "killed, and the others begin only then",
            (at(-3.0, "kill", late), *killed(), at(BACK_S, "start", late)),
            BACK_S,
            WITH_STATE_S,
        ),
        Case("killed for 3 s, clients come again", killed(after=3.0), 3.0, WITHOUT_S, tries=4),
        Case("the same without slow start", killed(after=3.0), 3.0, tries=4, slow_start=False),
        Case("stood still, one server drained meanwhile", still, STILL_S, WITH_STATE_S, SERVERS - 1),
        Case("stood still, plain loop", still, STILL_S, plain_loop=True),
    ]


def schedule(case: Case, instances: int, seed: int, after_s: float) -> Schedule:
    """The schedule of a case for the cluster, its fault at FAULT_S and `after_s` of load behind it."""
    events = [event | {"at": FAULT_S + event["at"]} for event in case.events]
    return checked(
        {
            "seed": seed,
            "seconds": FAULT_S + case.begins_s + after_s,
            "instances": instances,
            "servers": SERVERS,
            "per_s": LOAD * SERVERS * SLOTS / ANSWER_S,
            "deadline_s": 3.0,
            "plain_loop": case.plain_loop,
            "slow_start": case.slow_start,
            "tries": case.tries,
            "slots": SLOTS,
            "answer_s": ANSWER_S,
            "events": events,
        }
    )


def served_part(sent: Sequence[Sent], begins: float, ends: float) -> float:
    """Of what was sent in between."""
    found = [one for one in sent if begins <= one.sent < ends]
    return sum(one.status == 200 for one in found) / len(found) if found else 0.0


def back_after_s(sent: Sequence[Sent], start: float, end: float, part: float) -> float:
    """From when on this part is served in each window to the end; the whole time if it never is."""
    at, back = end, end
    while at - WINDOW_S >= start:
        at -= WINDOW_S / 5
        if served_part(sent, at, at + WINDOW_S) < part:
            break
        back = at
    return back - start


@dataclass(frozen=True)
class Told:
    """One play's figures."""

    verdict: Verdict
    before: float
    back_s: float
    worst: int
    worst_before: int
    gaps: int


async def played(case: Case, instances: int, seed: int, after_s: float, folder: Path) -> Told:
    """Play one case on a cluster of processes, and return its figures."""
    plan = schedule(case, instances, seed, after_s)
    async with cluster(plan, folder) as it:
        verdict = await it.play()
        statuses = await asyncio.gather(*(each.status() for each in it.instances))
        return told(it, case, verdict, sum(each.get("recovery", {}).get("gaps", 0) for each in statuses))


def told(it: Cluster, case: Case, verdict: Verdict, gaps: int) -> Told:
    """The figures of a play: what was served before, during and after the fault."""
    fault = it.begins + FAULT_S
    start, end = fault + case.begins_s, it.begins + it.schedule.seconds - 0.2
    sent = it.load.sent
    before = served_part(sent, it.begins + 1.0, fault)
    worst_before = max(shop.worst_second(until=fault) for shop in it.shops)
    return Told(
        verdict,
        before,
        back_after_s(sent, start, end, SERVED_AGAIN * before),
        max(shop.worst_second(since=fault) for shop in it.shops),
        worst_before,
        gaps,
    )


def main() -> int:
    """Run the cases and print their table; returns 1 if a bar is missed or a rule broke."""
    parser = outage_parser("coming_back")
    parser.add_argument("--seconds", type=float, default=8.0, help="after the processes are there again")
    asked = parser.parse_args()
    rows: list[list[object]] = []
    figures: dict[str, object] = {}
    bars: list[Bar] = []
    broken = 0
    for case in chosen(cases(asked.instances), asked.case):
        with tempfile.TemporaryDirectory() as folder:
            each = asyncio.run(played(case, asked.instances, asked.seed, asked.seconds, Path(folder)))
        rules = each.verdict.rules
        late = len(each.verdict.broken) - len(rules)
        counts = each.verdict.counts
        rows.append(
            [
                case.name,
                each.before,
                each.back_s,
                each.worst_before,
                each.worst,
                counts["refused"],
                counts["failed"],
                late,
                len(rules),
                each.gaps,
            ]
        )
        figures[case.name] = {
            "served_before": round(each.before, 3),
            "back_s": round(each.back_s, 2),
            "worst_second_before": each.worst_before,
            "worst_second": each.worst,
            "refused": counts["refused"],
            "failed": counts["failed"],
            "late": late,
            "broken": len(rules),
        }
        for line in rules[:5]:
            print(f"{case.name}: {line}", file=sys.stderr)
        if case.tries == 1 and not case.plain_loop:
            bars.append(
                Bar(
                    f"{case.name}: worst second at a server, by the one before",
                    each.worst * case.servers / SERVERS / max(1, each.worst_before),
                    MOST_AT_A_SERVER,
                )
            )
        if not case.plain_loop:
            broken += len(rules)
        if case.back_s:
            bars.append(Bar(f"{case.name}: s to 95 %", each.back_s, case.back_s))
    table(
        [
            "case",
            "before",
            "95 % after s",
            "worst second before",
            "after",
            "refused",
            "failed",
            "late",
            "broken",
            "gaps",
        ],
        rows,
    )
    return close("coming_back", figures, [Bar("rules broken", broken, 0.0), *bars])


if __name__ == "__main__":
    sys.exit(main())
