"""The operator's file, `[fellows]`: how instances know one another, and what they tell of servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from plovertrail.config.peers import PeersSetup
from plovertrail.config.problems import Problem
from plovertrail.config.tables import duration_us, read_table
from plovertrail.decisions.fellows import ANSWER_PART, false_suspicion

LEAST_PERIOD_US = 50_000
MOST_FALSE = 0.5  # of probes that raise a suspicion: beyond it refutations are most of what is said


class FellowsTable(msgspec.Struct, kw_only=True):
    """The table [fellows] as the operator writes it."""

    enabled: bool = True
    period: str = "1s"
    gossip: str = "200ms"
    fan_out: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    judgements: bool = True


@dataclass(frozen=True, slots=True)
class FellowsSetup:
    """How this instance knows others; they talk as `[peers]` says."""

    period_us: int
    gossip_us: int
    fan_out: int
    judgements: bool
    zone: str


def read_fellows(
    raw: object, peers: PeersSetup | None, zone: str, problems: list[Problem]
) -> FellowsSetup | None:
    """`peers` is there if its table is good; what is wrong goes to `problems`."""
    known = len(problems)
    table = read_table(FellowsTable, raw, "fellows", problems)
    if table is None or not table.enabled:
        return None

    def wrong(key: str, what: str, instead: str) -> None:
        problems.append(Problem(f"fellows.{key}", what, instead))

    period_us = duration_us(table.period, "fellows.period", problems)
    gossip_us = duration_us(table.gossip, "fellows.gossip", problems)
    if len(problems) > known or peers is None:
        return None
    if period_us < LEAST_PERIOD_US:
        wrong("period", f"{table.period!r} is too short", 'write at least "50ms"')
    if gossip_us > period_us:
        wrong("gossip", f"{table.gossip!r} is longer than the period", "write less, or a longer period")
    if period_us * ANSWER_PART < 2 * peers.delay_us:
        least_ms = 2 * peers.delay_us / ANSWER_PART / 1e3
        wrong(
            "period",
            f"an answer may take {2 * peers.delay_us / 1e3:g} ms by peers.delay, and half of "
            f"{table.period!r} is less",
            f'write at least "{least_ms:g}ms"',
        )
    if false_suspicion(peers.loss) > MOST_FALSE:
        wrong(
            "period",
            f"at peers.loss = {peers.loss:g} {false_suspicion(peers.loss):.0%} of all probes of "
            "live instances fail",
            "mend the network, or set enabled = false and count by peers alone",
        )
    if len(problems) > known:
        return None
    return FellowsSetup(period_us, gossip_us, table.fan_out, table.judgements, zone)
