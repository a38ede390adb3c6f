"""Holds all processes together to the four rules, by what reached servers and what clients were told."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from fakes.cluster.load import Sent
from fakes.cluster.servers import Shop

DRAIN_S = 2.0  # after word nothing new
SLACK_S = 0.5  # of this machine: how late an answer may be seen
OK_STATUS = 200
REFUSED_STATUS = 503


class Process(Protocol):
    """When an instance was alive and awake."""

    number: int
    stopped: list[list[float]]
    killed: list[list[float]]


@dataclass
class Verdict:
    """What was broken, by rule, and what the clients had."""

    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def rules(self) -> list[str]:
        """What is the program's: how late answers are is this machine's matter as well."""
        return [line for line in self.broken if not line.startswith("late")]

    def figures(self) -> str:
        """The counts as one line of text."""
        return ", ".join(f"{count} {what}" for what, count in sorted(self.counts.items()))


def touched(spans: Iterable[Sequence[float]], begins: float, ends: float) -> bool:
    """Whether a time falls into one of these."""
    return any(span[0] < ends and span[1] > begins for span in spans)


def judge(sent: Sequence[Sent], shops: Sequence[Shop], processes: Sequence[Process]) -> Verdict:
    """Lost, doubled, sent after a drain, answered wrongly. What was sent to a process that was killed is no
    instance's to answer; what stood in one that stood still is late by that."""
    verdict = Verdict()
    by_number = {each.number: each for each in processes}
    runs: defaultdict[str, list[str]] = defaultdict(list)
    for shop in shops:
        for run in shop.runs:
            if run.ran:
                runs[run.ident].append(shop.name)
            if run.at > shop.told_drain + DRAIN_S:
                verdict.broken.append(
                    f"drained: {run.ident} reached {shop.name} {run.at - shop.told_drain:.2f} s after word"
                )
    for one in sent:
        ends = one.sent + one.deadline_s
        process = by_number[one.instance]
        asleep = touched(process.stopped, one.sent, ends + SLACK_S)
        dead = touched(process.killed, one.sent - SLACK_S, ends + SLACK_S)
        verdict.counts[outcome(one)] += 1
        if one.answers > 1:
            verdict.broken.append(f"answered {one.answers} times: {one.ident}")
        if one.status == 0 and not one.refused and not dead:
            verdict.broken.append(f"lost: {one.ident} at instance {one.instance}")
        if one.status and one.answered > ends + SLACK_S and not asleep:
            verdict.broken.append(f"late: {one.ident} by {one.answered - ends:.2f} s")
        if one.unsafe and len(runs[one.ident]) > 1:
            verdict.broken.append(f"doubled: {one.ident} ran at {', '.join(runs[one.ident])}")
        if one.status == OK_STATUS and not runs[one.ident]:
            verdict.broken.append(f"made up: {one.ident} was served and ran nowhere")
        if one.status == REFUSED_STATUS and one.unsafe and runs[one.ident]:
            verdict.broken.append(f"refused: {one.ident} may not run again and ran at {runs[one.ident][0]}")
    return verdict


def outcome(one: Sent) -> str:
    """What a client had."""
    if one.refused:
        return "not taken"
    return {0: "unanswered", OK_STATUS: "served", REFUSED_STATUS: "refused"}.get(one.status, "failed")
