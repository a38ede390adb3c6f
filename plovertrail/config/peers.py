"""The operator's file, `[peers]`: the instances that count together, and how they talk."""

from __future__ import annotations

import ipaddress
import math
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from plovertrail.config.problems import Problem
from plovertrail.config.tables import duration_us, read_table
from plovertrail.decisions.counter_error_bound import GossipParameters, error_bound
from plovertrail.decisions.counter_rows import CountingWindow
from plovertrail.decisions.peer_counters import CounterLimits
from plovertrail.decisions.shared_counters import SharedCounters

Address = tuple[str, int]
MOST_PEERS = 200
LEAST_KEY, LONGEST_KEY = 16, 4_096  # bytes
MOST_KEYS = 4
LONGEST_NAME = 64
LEAST_PERIOD_US = 10_000
PROBABILITY = 1e-3  # with which the stated bound may not hold at any one moment
SILENT_ROUNDS = 8  # without a word, at the stated losses: about one in 15,000 at three in ten


class PeersTable(msgspec.Struct, kw_only=True):
    """The table [peers] as the operator writes it."""

    name: str
    address: str
    listed_as: str = ""
    key_files: list[str]
    addresses: list[str] = []
    peers_from: str = ""
    fleet: str = "plovertrail"
    period: str = "100ms"
    fan_out: Annotated[int, msgspec.Meta(ge=1, le=MOST_PEERS)] = 8
    window: str = "10s"
    buckets: Annotated[int, msgspec.Meta(ge=4, le=60)] = 20
    max_keys: Annotated[int, msgspec.Meta(ge=64, le=65_536)] = 4_096
    loss: Annotated[float, msgspec.Meta(ge=0, le=0.9)] = 0.05
    delay: str = "50ms"
    most_part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    keys_in_use: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 16
    max_error: Annotated[float, msgspec.Meta(gt=0)] | None = None
    alone: Literal["share", "local"] = "share"


@dataclass(frozen=True, slots=True)
class PeersSetup:
    """How this instance counts together with others."""

    name: str
    address: Address  # where it takes datagrams
    listed_as: Address  # as the others list it
    addresses: tuple[Address, ...]  # of all, as written
    list_path: str  # the file that lists them in place of that; empty: none
    size: int  # instances, till such a list has been read
    fleet: str
    keys: tuple[bytes, ...]  # the first one signs
    period_us: int
    fan_out: int
    window: CountingWindow
    most_keys: int
    alone_share: bool
    loss: float
    delay_us: int
    most_part: float
    keys_in_use: int

    def talk(self, size: int) -> GossipParameters:
        """What the bound is worked out from, for a fleet of so many."""
        return GossipParameters(
            size,
            self.period_us / 1e6,
            self.fan_out,
            self.window.span_us / 1e6,
            self.window.bucket_us / 1e6,
            self.loss,
            self.delay_us / 1e6,
            self.keys_in_use,
            rows_of(self.window),
            self.most_part,
        )

    def silent_us(self, size: int) -> int:
        """One that was not heard for so long is silent."""
        return int(SILENT_ROUNDS * self.talk(size).round_s * 1e6) + self.delay_us

    def apply_to(self, counts: SharedCounters, size: int) -> None:
        """Have counters go on under this, in a fleet of this size."""
        limits = CounterLimits(self.most_keys, self.silent_us(size), self.alone_share)
        counts.reconfigure(limits, size)


def rows_of(window: CountingWindow) -> int:
    """Keys that a datagram surely holds, with counts under 16,384 a bucket: 1,000 of its 1,200 bytes are
    rows."""
    return max(1, 1_000 // (8 + 5 + 1 + 2 * window.slots))


def read_peers(
    raw: object,
    address: Callable[[str, str], Address],
    environment: Callable[[str, str], str],
    instances: int,
    problems: list[Problem],
) -> PeersSetup | None:
    """`address` and `environment` read one value at a place, and tell what is wrong with it; `instances` are
    reckoned with till a list is read."""
    known = len(problems)
    table = read_table(PeersTable, raw, "peers", problems)
    if table is None:
        return None

    def wrong(key: str, what: str, instead: str) -> None:
        problems.append(Problem(f"peers.{key}", what, instead))

    name = environment(table.name, "peers.name")
    if not 0 < len(name.encode("utf-8", "replace")) <= LONGEST_NAME:
        wrong("name", f"{name!r} is no name", f'write one of 1 to {LONGEST_NAME} bytes, as "app-17"')
    own = address(environment(table.address, "peers.address"), "peers.address")
    if own[0] and ipaddress.IPv4Address(own[0]).is_unspecified:
        wrong(
            "address",
            f"{table.address!r} is no address that others could send to",
            "write the one that the others list",
        )
    listed_as = own
    if table.listed_as:
        listed_as = address(environment(table.listed_as, "peers.listed_as"), "peers.listed_as")
    listed = tuple(address(text, f"peers.addresses[{number}]") for number, text in enumerate(table.addresses))
    if bool(table.addresses) == bool(table.peers_from):
        wrong("addresses", "write either addresses or peers_from", 'as addresses = ["10.0.0.1:7400"]')
    if len(set(listed) | {listed_as}) > MOST_PEERS:
        wrong("addresses", f"{len(listed)} peers; at most {MOST_PEERS} are taken", "split the fleet")
    period_us = duration_us(table.period, "peers.period", problems)
    if len(problems) == known and period_us < LEAST_PERIOD_US:
        wrong("period", f"{table.period!r} is too short", 'write at least "10ms"')
    window_us = duration_us(table.window, "peers.window", problems)
    window = CountingWindow(window_us, table.buckets)
    if window.bucket_us < period_us:
        wrong(
            "buckets",
            f"a bucket of {window.bucket_us / 1e3:g} ms is shorter than the period",
            "write fewer buckets, a longer window, or a shorter period",
        )
    delay_us = duration_us(table.delay, "peers.delay", problems, 0)
    keys = _read_keys(table.key_files, wrong)
    if len(problems) > known:
        return None
    size = instances if table.peers_from else len({*listed, listed_as})
    setup = PeersSetup(
        name,
        own,
        listed_as,
        listed,
        table.peers_from,
        size,
        table.fleet,
        keys,
        period_us,
        table.fan_out,
        window,
        table.max_keys,
        table.alone == "share",
        table.loss,
        delay_us,
        table.most_part,
        table.keys_in_use,
    )
    _check_bound(setup, table, wrong)
    return setup if len(problems) == known else None


def _check_bound(setup: PeersSetup, table: PeersTable, wrong: Callable[[str, str, str], None]) -> None:
    """Whether the settings can hold what is asked of them."""
    talk = setup.talk(setup.size)
    silent_us = setup.silent_us(setup.size)
    if silent_us > setup.window.span_us:
        wrong(
            "window",
            f"it holds {setup.window.span_us / 1e6:g} s, and a peer counts as silent only after "
            f"{silent_us / 1e6:g} s without a word",
            "write a longer window, a shorter period, or a larger fan_out",
        )
        return
    found = error_bound(talk, PROBABILITY)
    if table.max_error is not None and max(found.under, found.over) > table.max_error:
        wrong(
            "max_error",
            f"these settings can't hold it: a count may be {found.under:.0%} too low and "
            f"{found.over:.0%} too high",
            "write a longer window, a shorter period, a larger fan_out, or "
            f"max_error = {math.ceil(max(found.under, found.over) * 100) / 100:g}",
        )


def _read_keys(paths: list[str], wrong: Callable[[str, str, str], None]) -> tuple[bytes, ...]:
    found = []
    if not 0 < len(paths) <= MOST_KEYS:
        wrong(
            "key_files",
            f"{len(paths)} keys",
            f"write the files of 1 to {MOST_KEYS} keys, the one that signs first",
        )
    for number, path in enumerate(paths):
        at = f"key_files[{number}]"
        try:
            fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
            try:
                data = os.read(fd, LONGEST_KEY + 1).strip()
            finally:
                os.close(fd)
        except OSError as error:
            wrong(at, f"{path} can't be read: {error.strerror}", "write a file that holds the fleet's key")
            continue
        if not LEAST_KEY <= len(data) <= LONGEST_KEY:
            wrong(
                at,
                f"{path} holds {len(data)} bytes",
                f"write a key of {LEAST_KEY} to {LONGEST_KEY} bytes, as `openssl rand -hex 32` makes it",
            )
        found.append(data)
    return tuple(found)
