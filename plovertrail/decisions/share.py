"""What one of many instances may hold: its servers, connections and dials, so that all together stay within
what a server bears, without talking.

Each instance takes the servers that rank first for its own number: rendezvous hashing (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Trans. Networking 6, 1998), by weight
(Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005). How many instances have a server
is then a matter of chance, and budgets leave room for it: docs/large-fleets.md derives the bound and states
its error.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass

from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.decisions.settings import RequestClass

CERTAINTY = 3.0  # standard deviations beyond the highest of so many counts: one chance in a thousand, about
WIDEN_GAP_US = 250_000  # between two widenings: what the last one brought must show first
CALM_US = 10_000_000  # without a request that found no slot, before a subset narrows again
DIAL_BURST = 4  # an instance with little traffic dials for most requests, and these come in bunches
MOST_CHANGED = 250  # servers that join, or go, in one step: a module takes about 10 us for each
MOST_EACH = 64  # connections of one instance to one server
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Fleet:
    """The instances that share the servers, and which of them this one is."""

    size: int = 1
    number: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one server bears from all instances together, and how many servers an instance needs. 0 = any."""

    servers: int = 0
    connections: int = 0
    dials_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Budget:
    """What one instance may hold of a pool. 0 = any."""

    connections: int = 0  # in all
    connections_each: int = 0  # to one server
    keep_idle: bool = True  # False: none is kept between requests
    dial_gap_us: int = 0  # between two dials, to whichever servers


def usable_mean(bound: float, places: int, lot: int = 1) -> float:
    """The mean that a count may have, so that by chance it exceeds a bound at none of so many places. The
    count comes in independent lots (Poisson); the highest of n normal values lies about sqrt(2 ln n) standard
    deviations out."""
    out = CERTAINTY + math.sqrt(2.0 * math.log(max(1, places)))
    spread = out * math.sqrt(lot)
    return ((math.sqrt(spread * spread + 4.0 * bound) - spread) / 2.0) ** 2


def uniform(number: int, name: str) -> float:
    """A number between 0 and 1 that an instance always draws for a name."""
    import hashlib  # late: the platform's program, which has no share, would load it at each start

    digest = hashlib.blake2b(f"{number} {name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 0.5) / 2.0**64


def budget(fleet: Fleet, bounds: Bounds, servers: int) -> Budget:
    """The part of what `servers` servers bear that falls to one instance. Where that is two connections and a
    half, one half of the instances has two and the other three; where it is less than one, the others keep
    none, and have one only while a request is on it."""
    if servers <= 0:
        return Budget()
    connections, each, keep = 0, 0, True
    if bounds.connections:
        wanted = min(bounds.servers or servers, servers)
        for each in range(1, MOST_EACH + 1):
            mine = usable_mean(bounds.connections, servers, each) * servers / fleet.size
            if mine < wanted * (each + 1):
                break
        whole = int(mine + uniform(fleet.number, "connections"))
        connections, keep = max(1, whole), whole >= 1
    gap_us = 0
    if bounds.dials_per_s:
        gap_us = int(1e6 * fleet.size / (usable_mean(bounds.dials_per_s, servers) * servers))
    return Budget(connections, each, keep, gap_us)


def list_span_us(instances: int, calls_per_s: float) -> int:
    """Over which instances take turns at random to ask for the list, when all do."""
    return int(1e6 * instances / usable_mean(calls_per_s, 1))


def overdrawn(fleet: Fleet, bounds: Bounds, servers: int) -> str:
    """What a server can't bear however careful each instance is; empty if there is nothing."""
    if not bounds.connections or servers <= 0:
        return ""
    if fleet.size <= usable_mean(bounds.connections, servers) * servers:
        return ""
    return (
        f"{fleet.size} instances on {servers} servers that bear {bounds.connections} connections each: "
        "not one for each instance, so some keep none between requests, and dial for each"
    )


class Dials:
    """An instance's turns to dial: one each gap in the long run, DIAL_BURST in a row after a pause (the
    virtual scheduling of ITU-T I.371). The first one comes after a random part of the gap, and no burst
    before: a fleet that starts at one moment is spread over it."""

    def __init__(self, gap_us: int, now_us: int, part: float) -> None:
        self.gap_us = gap_us
        self.spent_us = now_us + int(gap_us * part) + gap_us * (DIAL_BURST - 1)  # when all turns are back
        self.promised_us = now_us  # the turn that was last told to one who is to come back

    @property
    def next_us(self) -> int:
        """When the next turn comes, or came."""
        return self.spent_us - self.gap_us * (DIAL_BURST - 1)

    def may(self, now_us: int) -> bool:
        """Whether a connection may be opened now."""
        return now_us >= self.next_us

    def took(self, now_us: int) -> None:
        """A connection is being opened: the next one may be a gap later."""
        self.spent_us = max(self.spent_us, now_us) + self.gap_us

    def promise_us(self, now_us: int, longest_us: int) -> int:
        """When one that is refused for want of a turn should come back: each is told a turn of its own,
        within `longest_us` if one comes so soon. Hazard: all told of the next one would return together, and
        but one of them find it; told of ever later ones they would be kept away while turns lapse."""
        at_us = max(self.promised_us + self.gap_us, self.next_us, now_us)
        if at_us > now_us + longest_us:  # all turns of that time have been told once
            at_us = max(self.next_us, now_us)
        self.promised_us = at_us
        return at_us

    def stood_still(self, now_us: int, part: float) -> None:
        """The process did nothing for a while, so its turns have piled up. Hazard: those of a whole fleet on
        a host that froze would be taken at one moment, DIAL_BURST each; so it begins as at a start."""
        self.spent_us = max(self.spent_us, now_us + int(self.gap_us * part) + self.gap_us * (DIAL_BURST - 1))

    def change(self, gap_us: int, now_us: int) -> None:
        """The fleet or the list has another size: what is owed is owed in the new gaps. Hazard: long ones
        that have begun would outlast it."""
        owed = max(0, self.spent_us - now_us) / self.gap_us
        self.gap_us = gap_us
        self.spent_us = now_us + int(owed * gap_us)


def group_of(classes: Iterable[RequestClass]) -> str:
    """Which servers must be chosen together. Hazard: a keyed request that may have run may be repeated within
    its group only; were a part of the group chosen, it would have nowhere to go."""
    groups = {kind.dedup_scope for kind in classes if kind.effect == "deduplicated"}
    return "zone" if "zone" in groups else "cell" if "cell" in groups else ""


@dataclass(slots=True)
class _Unit:
    """Servers that are chosen together."""

    rank: tuple[bool, float, str]
    servers: dict[int, Endpoint]
    weight: float


class Subset:
    """Which of a pool's servers an instance uses: whole units, the best ranked first, until enough of their
    servers are ready. It takes lists in and tells what its own list has become. One that a better one has
    replaced stays until it has no open requests, and a drain or a leave is never held back."""

    def __init__(self, number: int, size: int, group: str = "", home: int | None = None) -> None:
        self.number = number
        self.size = size
        self.group = group
        self.home = home  # a zone that is chosen from first; None: all alike
        self.width = size  # servers wanted now: size, or more while that is too few
        self.short_us = 0  # when it was last too few
        self.widened_us = 0
        self.units: dict[str, _Unit] = {}
        self.ranked: list[tuple[tuple[bool, float, str], str]] = []
        self.entries: dict[int, Endpoint] = {}
        self.names: dict[int, str] = {}  # the unit of each
        self.chosen: dict[int, Endpoint] = {}  # as they were told

    # Lists in, the own list out

    def listed(
        self, entries: Iterable[Endpoint], addresses: Mapping[int, Address], fill: bool = True
    ) -> list[Endpoint]:
        """Changed entries; returns what changes in the own list. Those whose state is GONE leave. Without
        `fill` nothing joins yet, as more of the same list follows."""
        told: list[Endpoint] = []
        for entry in entries:
            self._take_out(entry.id)
            if entry.state is not EndpointStatus.REMOVED:
                self._put_in(entry, addresses[entry.id])
            if entry.id in self.chosen:
                if entry.state is EndpointStatus.READY:
                    self.chosen[entry.id] = entry
                else:
                    del self.chosen[entry.id]
                told.append(entry)
        return told + self._filled() if fill else told

    def only(
        self, numbers: Set[int], entries: Iterable[Endpoint], addresses: Mapping[int, Address]
    ) -> list[Endpoint]:
        """A whole list: what it doesn't have is gone."""
        gone = [Endpoint(number, EndpointStatus.REMOVED) for number in self.entries.keys() - numbers]
        return self.listed([*gone, *entries], addresses)

    def short(self, now_us: int) -> list[Endpoint]:
        """A request found no free slot among those chosen: twice as many, as far as there are."""
        self.short_us = now_us
        if self.width >= len(self.entries) or now_us < self.widened_us + WIDEN_GAP_US:
            return []
        self.width *= 2
        self.widened_us = now_us
        return self._filled()

    def narrow(self, now_us: int, busy: Set[int]) -> list[Endpoint]:
        """Now and then: after a calm the half of what was added goes, and what has been replaced; never while
        requests of a unit are open, whose repeats may have nowhere else to go. What is wanted joins."""
        if self.width > self.size and now_us >= max(self.short_us, self.widened_us) + CALM_US:
            self.width = max(self.size, self.width // 2)
            self.widened_us = now_us
        wanted = self._wanted()
        gone: list[Endpoint] = []
        for number in [number for number in self.chosen if self.names[number] not in wanted]:
            if len(gone) >= MOST_CHANGED:
                break
            if busy.isdisjoint(self.units[self.names[number]].servers):
                gone.append(Endpoint(number, EndpointStatus.REMOVED))
        for entry in gone:
            del self.chosen[entry.id]
        return gone + self._filled()

    # Ranks

    def _wanted(self) -> dict[str, None]:
        """The units to use, the best ranked first."""
        names: dict[str, None] = {}
        ready = 0
        for _, name in self.ranked:
            if ready >= self.width:
                break
            here = sum(
                1 for entry in self.units[name].servers.values() if entry.state is EndpointStatus.READY
            )
            if here:
                ready += here
                names[name] = None
        return names

    def _filled(self) -> list[Endpoint]:
        """What is wanted and was not chosen joins."""
        came: list[Endpoint] = []
        for name in self._wanted():
            if len(came) >= MOST_CHANGED:
                break  # the next look goes on
            for number, entry in self.units[name].servers.items():
                if number not in self.chosen and entry.state is EndpointStatus.READY:
                    self.chosen[number] = entry
                    came.append(entry)
        return came

    def _put_in(self, entry: Endpoint, address: Address) -> None:
        if self.group:
            name = str(entry.zone if self.group == "zone" else entry.cell)
        else:
            name = f"{address[0]}:{address[1]}"  # the same at each start, as numbers are not
        self.entries[entry.id], self.names[entry.id] = entry, name
        unit = self.units.get(name)
        if unit is None:
            unit = self.units[name] = _Unit((False, 0.0, name), {}, 0.0)
        else:
            self._unrank(unit, name)
        unit.servers[entry.id] = entry
        self._rank(unit, name)

    def _take_out(self, number: int) -> None:
        if self.entries.pop(number, None) is None:
            return
        name = self.names.pop(number)
        unit = self.units[name]
        self._unrank(unit, name)
        del unit.servers[number]
        if unit.servers:
            self._rank(unit, name)
        else:
            del self.units[name]

    def _rank(self, unit: _Unit, name: str) -> None:
        """By weight: the chance to come first is in proportion to it."""
        unit.weight = sum(entry.weight for entry in unit.servers.values())
        away = self.home is not None and all(entry.zone != self.home for entry in unit.servers.values())
        unit.rank = away, -math.log(uniform(self.number, name)) / unit.weight, name
        insort(self.ranked, (unit.rank, name))

    def _unrank(self, unit: _Unit, name: str) -> None:
        del self.ranked[bisect_left(self.ranked, (unit.rank, name))]
