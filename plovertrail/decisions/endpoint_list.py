"""The servers of one pool: what sources say of them becomes one atomic step, or nothing.

A candidate is a whole list of one source. `reduce` checks it whole, lays the sources over each other, and
tells what joins, leaves, drains or changes. States are immutable values: a reader on another thread sees one
or the other, never a mixture. A leave or a drain is never held back once its list is taken; joins can be.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

Address = tuple[str, int]
FLAP_HALF_LIFE_US = 60_000_000
FREE_RETURNS = 2.0  # leaves within about a minute that cost a server nothing
FIRST_HOLD_US = 2_000_000  # doubles with each further leave
LONGEST_HOLD_US = 60_000_000
MOST_FLAPS = 10_000  # servers that leaves are remembered of: the oldest go first
LEAVING_US = 120_000_000  # a server that has left is remembered for so long as leaving


@dataclass(frozen=True, slots=True)
class Entry:
    """What a source says of one server."""

    id: str
    address: Address
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False
    model: str = ""
    started_us: int | None = None  # when it last started, 0 = long ago; None: the source doesn't know


@dataclass(frozen=True, slots=True)
class Candidate:
    """A whole list, as a source has it now; `version` 0 = it has none."""

    source: str
    entries: tuple[Entry, ...]
    version: int = 0
    by_operator: bool = False  # written by hand into the operator's file: what it drops was meant


@dataclass(frozen=True, slots=True)
class Guards:
    """What a list must keep to. The reasons of the defaults: docs/membership.md."""

    allow_empty: bool = False
    most_dropped: float = 0.5  # share of the servers that one list may drop or move
    judged_from: int = 4  # with fewer servers the share says nothing
    allow_older: bool = False  # a version may go backwards
    largest_weight: float = 1000.0
    zones: frozenset[str] = frozenset()  # empty: any
    damping: bool = True
    shared_addresses: bool = False  # for a while, as one server takes another's place


UNGUARDED = Guards(
    allow_empty=True, most_dropped=1.0, largest_weight=math.inf, damping=False, shared_addresses=True
)  # for a source that is known to be right, as the platform's


@dataclass(frozen=True, slots=True)
class Member:
    """A server in force. Hazard: a number is never used again, so that nothing learnt of a server, and no
    connection to it, passes to one that comes after it."""

    number: int
    entry: Entry  # `drain` as all sources together have it
    came_us: int  # 0 = long ago


@dataclass(frozen=True, slots=True)
class Flap:
    """How often a server has left of late, the old times fading."""

    leaves: float
    at_us: int

    def now(self, now_us: int) -> float:
        """The number of leaves as it counts at `now_us`: halved for each FLAP_HALF_LIFE_US since `at_us`."""
        return self.leaves * math.exp2((self.at_us - now_us) / FLAP_HALF_LIFE_US)


@dataclass(frozen=True, slots=True)
class State:
    """All that is known of a pool's servers."""

    generation: int = 0
    started: bool = False  # set by the owner once the first lists are in: who comes later is cold
    layers: tuple[Candidate, ...] = ()  # the last good list of each source, the one that wins first
    by_hand: frozenset[str] = frozenset()  # drained by the operator
    members: Mapping[str, Member] = field(default_factory=dict)
    leaving: Mapping[int, tuple[Member, int]] = field(default_factory=dict)  # by number, since when
    flaps: Mapping[str, Flap] = field(default_factory=dict)
    held: Mapping[str, int] = field(default_factory=dict)  # joins held back, until when
    refused: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # what is wrong with a source's list
    last_number: int = 0


class Kind(enum.Enum):
    """Of a change."""

    JOIN = "joins"
    LEAVE = "leaves"
    DRAIN = "drains"
    UNDRAIN = "drains no more"
    CHANGE = "changes"


@dataclass(frozen=True, slots=True)
class Change:
    """One server's change in a step, with the member as it is after the change; on a leave, as it was
    before."""

    kind: Kind
    member: Member


@dataclass(frozen=True, slots=True)
class Report:
    """What the operator should hear: `loud` as long as it lasts."""

    loud: tuple[str, ...] = ()
    told: tuple[str, ...] = ()


Step = tuple[State, tuple[Change, ...], Report]


def problems(state: State, candidate: Candidate, guards: Guards) -> tuple[str, ...]:
    """All that is wrong with a list; it is taken only if nothing is."""
    found: list[str] = []
    ids: set[str] = set()
    addresses: dict[Address, str] = {}
    for entry in candidate.entries:
        if entry.id in ids:
            found.append(f'two servers are called "{entry.id}"')
        if entry.address in addresses and not guards.shared_addresses:
            found.append(f'"{entry.id}" has the address of "{addresses[entry.address]}"')
        if not (math.isfinite(entry.weight) and 0 < entry.weight <= guards.largest_weight):
            found.append(
                f'"{entry.id}" has a weight of {entry.weight}: '
                f"expected more than 0, at most {guards.largest_weight:g}"
            )
        if guards.zones and entry.zone not in guards.zones:
            found.append(f'"{entry.id}" is in the unknown zone "{entry.zone}"')
        ids.add(entry.id)
        addresses[entry.address] = entry.id
    if candidate.by_operator:
        return tuple(found)
    before = next((layer for layer in state.layers if layer.source == candidate.source), None)
    if not candidate.entries and not guards.allow_empty:
        found.append("the list is empty")
    if before is not None:
        if 0 < candidate.version < before.version and not guards.allow_older:
            found.append(f"its version {candidate.version} goes backwards, from {before.version}")
        listed = {(entry.id, entry.address) for entry in candidate.entries}
        dropped = sum(1 for entry in before.entries if (entry.id, entry.address) not in listed)
        if (
            candidate.entries
            and len(before.entries) >= guards.judged_from
            and dropped > guards.most_dropped * len(before.entries)
        ):
            found.append(
                f"it drops or moves {dropped} of {len(before.entries)} servers at once: "
                f"more than {guards.most_dropped:.0%}"
            )
    return tuple(found)


def merged(layers: Iterable[Candidate], by_hand: frozenset[str], shared: bool = False) -> dict[str, Entry]:
    """One entry a server: of the first source that lists it, but draining if any source or the operator says
    so. Unless `shared`, an address that an earlier source has under another id is that server's."""
    found: dict[str, Entry] = {}
    taken: dict[Address, str] = {}
    draining = set(by_hand)
    for layer in layers:
        for entry in layer.entries:
            if entry.drain:
                draining.add(entry.id)
            if entry.id not in found and (taken.setdefault(entry.address, entry.id) == entry.id or shared):
                found[entry.id] = entry
    for ident in draining & found.keys():
        if not found[ident].drain:
            found[ident] = replace(found[ident], drain=True)
    return found


def reduce(
    state: State,
    candidate: Candidate | None,
    now_us: int,
    guards: Guards,
    order: Sequence[str] = (),
    elsewhere: Mapping[tuple[str, Address], int] | None = None,
) -> Step:
    """One step. Without a candidate: the time has come for joins that were held back. `order` has the
    sources, the one that wins first; lists of others are dropped. `elsewhere` tells since when other pools
    know a server: it is not cold for having come to this one."""
    if candidate is not None:
        wrong = problems(state, candidate, guards)
        if wrong:
            refused = {**state.refused, candidate.source: wrong}
            state = replace(state, refused=refused)
            return state, (), report(state, now_us)
        layers = {layer.source: layer for layer in state.layers} | {candidate.source: candidate}
        names = order or tuple(layers)
        refused = {
            name: told for name, told in state.refused.items() if name != candidate.source and name in names
        }
        state = replace(
            state, layers=tuple(layers[name] for name in names if name in layers), refused=refused
        )
    # hazard: whether a mapping is empty may take a look at all pools
    return _settle(state, now_us, guards, {} if elsewhere is None else elsewhere)


def drained_by_hand(state: State, ident: str, drain: bool, now_us: int, guards: Guards) -> Step:
    """The operator drains a server, or ends that; it holds for the id, listed or not."""
    by_hand = state.by_hand | {ident} if drain else state.by_hand - {ident}
    return _settle(replace(state, by_hand=by_hand), now_us, guards, {})


def _settle(state: State, now_us: int, guards: Guards, elsewhere: Mapping[tuple[str, Address], int]) -> Step:
    """Bring the members to what the sources say."""
    wanted = merged(state.layers, state.by_hand, guards.shared_addresses)
    members: dict[str, Member] = {}
    leaving = {number: left for number, left in state.leaving.items() if left[1] > now_us - LEAVING_US}
    flaps, held = dict(state.flaps), {}
    last_number = state.last_number
    changes: list[Change] = []
    for ident, member in state.members.items():
        entry = wanted.get(ident)
        if entry is None or entry.address != member.entry.address:
            leaving[member.number] = member, now_us
            if guards.damping:
                flap = flaps.pop(ident, None)  # put last: the oldest go first
                flaps[ident] = Flap(1.0 + (flap.now(now_us) if flap is not None else 0.0), now_us)
            changes.append(Change(Kind.LEAVE, member))
    for ident, entry in wanted.items():
        old = state.members.get(ident)
        if old is not None and old.entry.address == entry.address:
            if old.entry == entry:
                members[ident] = old
                continue
            kind = Kind.CHANGE
            if old.entry.drain != entry.drain:
                kind = Kind.DRAIN if entry.drain else Kind.UNDRAIN
            came_us = old.came_us if entry.started_us is None else entry.started_us
            members[ident] = Member(old.number, entry, came_us)
            changes.append(Change(kind, members[ident]))
            continue
        hold_us = _hold_us(flaps.get(ident), now_us) if guards.damping and state.started else 0
        until_us = state.held.get(ident, now_us + hold_us)
        if until_us > now_us:
            held[ident] = until_us
            continue
        last_number += 1
        cold_us = now_us if state.started else 0
        came_us = elsewhere.get((ident, entry.address), cold_us) if ident not in flaps else cold_us
        if entry.started_us is not None:
            came_us = entry.started_us
        members[ident] = Member(last_number, entry, came_us)
        changes.append(Change(Kind.JOIN, members[ident]))
    while len(flaps) > MOST_FLAPS:
        del flaps[next(iter(flaps))]
    new = replace(
        state,
        members=members,
        leaving=leaving,
        flaps=flaps,
        held=held,
        last_number=last_number,
        generation=state.generation + bool(changes),
    )
    return new, tuple(changes), report(new, now_us, tuple(changes))


def _hold_us(flap: Flap | None, now_us: int) -> int:
    """How long a join is held back after so many leaves of late."""
    leaves = flap.now(now_us) if flap is not None else 0.0
    if leaves <= FREE_RETURNS:
        return 0
    return min(LONGEST_HOLD_US, int(FIRST_HOLD_US * math.exp2(leaves - FREE_RETURNS)))


def report(state: State, now_us: int, changes: tuple[Change, ...] = ()) -> Report:
    """What is to be told of a state, and of the step that led to it."""
    held = state.held
    loud = [
        f"the list of {source} is refused, the last good one stays: {'; '.join(_first(told))}"
        for source, told in state.refused.items()
    ]
    if held:
        longest_s = (max(held.values()) - now_us) / 1e6
        loud.append(
            f"{len(held)} servers come and go, and are held back for up to {longest_s:.0f} s: "
            f"{', '.join(_first(tuple(held)))}"
        )
    counts: dict[Kind, list[str]] = {}
    for change in changes:
        counts.setdefault(change.kind, []).append(change.member.entry.id)
    return Report(
        tuple(loud), tuple(f"{', '.join(_first(tuple(ids)))}: {kind.value}" for kind, ids in counts.items())
    )


def _first(words: tuple[str, ...]) -> tuple[str, ...]:
    """The first few. Hazard: of 10,000 bad entries the log would take one line of a megabyte."""
    return words if len(words) <= 5 else (*words[:5], f"and {len(words) - 5} more")


def next_due_us(state: State) -> int | None:
    """When a join that is held back may come."""
    return min(state.held.values(), default=None)
