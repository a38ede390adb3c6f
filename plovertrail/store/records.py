"""What is kept, as records: a key (words), and a value of JSON's kinds; None forgets the key.

Times in records are Unix times in microseconds, made of the module's clock by one offset for a whole snapshot
and its journal (`ahead`), so that a clock that is set meanwhile moves none of them against another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from plovertrail.decisions.counts import Former
from plovertrail.decisions.endpoint_list import (
    LONGEST_HOLD_US,
    Candidate,
    Entry,
    Guards,
    Member,
    State,
    reduce,
)
from plovertrail.decisions.rate_limits import RateLimiterState
from plovertrail.decisions.warm_state import EndpointHistory, PoolHistory

Key = tuple[str, ...]
Record = tuple[Key, Any]
POOL, ROW, CAME, LEAVING, HELD = "pool", "row", "came", "leaving", "held"  # of a pool's lists
JUDGED, MEANS, LIMIT, BUCKET, COUNTS, COUNT = "judged", "means", "limit", "bucket", "counts", "count"
LISTS = frozenset((POOL, ROW, CAME, LEAVING, HELD))


class InvalidRecordsError(Exception):
    """Records that make no state; the text says why."""


@dataclass(frozen=True, slots=True)
class Kept:
    """All that is kept, as the loop hands it over: values that nobody changes any more."""

    states: Mapping[str, State] = field(default_factory=dict)
    memories: Mapping[str, PoolHistory] = field(default_factory=dict)  # by pool
    limits: Mapping[str, RateLimiterState] = field(default_factory=dict)  # by limiter
    counts: Former | None = None


# Of a pool's lists


def _row(entry: Entry) -> list[Any]:
    return [*entry.address, entry.zone, entry.cell, entry.weight, entry.drain]


def _entry(ident: str, raw: Any) -> Entry:
    host, port, zone, cell, weight, drain = raw
    return Entry(str(ident), (str(host), int(port)), str(zone), str(cell), float(weight), bool(drain))


def _head(state: State) -> list[Any]:
    return [
        state.generation,
        sorted(state.by_hand),
        [[layer.source, layer.version, layer.by_operator] for layer in state.layers],
    ]


def list_changes(name: str, before: State, now: State, ahead: int) -> list[Record]:
    """The records that lead from one state of a pool to another. What both have in common is known by being
    the same object, so one change among 10,000 servers costs one look at each."""
    found: list[Record] = []
    if before is now:
        return found
    if _head(before) != _head(now):
        found.append(((POOL, name), _head(now)))
    old_layers = {layer.source: layer for layer in before.layers}
    for layer in now.layers:
        old = old_layers.pop(layer.source, None)
        if old is layer:
            continue
        was = {entry.id: entry for entry in old.entries} if old is not None else {}
        for entry in layer.entries:
            known = was.pop(entry.id, None)
            if known is not entry and known != entry:
                found.append(((ROW, name, layer.source, entry.id), _row(entry)))
        found += [((ROW, name, layer.source, ident), None) for ident in was]
    for layer in old_layers.values():
        found += [((ROW, name, layer.source, entry.id), None) for entry in layer.entries]
    for ident, member in now.members.items():
        known_member = before.members.get(ident)
        if known_member is member:
            continue
        came_us = known_member.came_us if known_member is not None else 0
        if member.came_us != came_us:
            found.append(((CAME, name, ident), member.came_us + ahead if member.came_us else None))
    found += [
        ((CAME, name, ident), None)
        for ident, member in before.members.items()
        if member.came_us and ident not in now.members
    ]
    # by number: one that left twice is there twice
    found += [
        ((LEAVING, name, str(number)), [member.entry.id, _row(member.entry), since_us + ahead])
        for number, (member, since_us) in now.leaving.items()
        if number not in before.leaving
    ]
    found += [((LEAVING, name, str(number)), None) for number in before.leaving if number not in now.leaving]
    found += [
        ((HELD, name, ident), until_us + ahead)
        for ident, until_us in now.held.items()
        if before.held.get(ident) != until_us
    ]
    found += [((HELD, name, ident), None) for ident in before.held if ident not in now.held]
    return found


def list_gone(name: str, before: State, ahead: int) -> list[Record]:
    """The records that forget a pool. Hazard: one that comes back later would find the lists of another
    time."""
    return [(key, None) for key, _ in list_changes(name, State(), before, ahead)] + [((POOL, name), None)]


def state_of(found: Mapping[Key, Any], name: str, ahead: int, now_us: int) -> State:
    """A pool's state from its records; raises InvalidRecordsError.

    Server numbers begin anew: they are this process's own. By a clock that was set back some servers came
    tomorrow: they are taken to have come now at the latest.
    """
    try:
        generation, by_hand, heads = found[POOL, name]
        rows: dict[str, list[Entry]] = {str(source): [] for source, _, _ in heads}
        came: dict[str, int] = {}
        held: dict[str, int] = {}
        left: list[tuple[int, Entry, int]] = []
        for key, value in found.items():
            if key[0] == ROW:
                rows[key[2]].append(_entry(key[3], value))
            elif key[0] == CAME:
                came[key[2]] = min(now_us, int(value) - ahead)
            elif key[0] == HELD:
                held[key[2]] = min(now_us + LONGEST_HOLD_US, int(value) - ahead)
            elif key[0] == LEAVING:
                ident, row, since_us = value
                left.append((int(key[2]), _entry(ident, row), min(now_us, int(since_us) - ahead)))
        layers = tuple(
            Candidate(str(source), tuple(rows[source]), int(version), bool(by_operator))
            for source, version, by_operator in heads
        )
        state = State(by_hand=frozenset(map(str, by_hand)), layers=layers)
        return restored(
            state,
            int(generation),
            came,
            [(entry, since_us) for _, entry, since_us in sorted(left, key=lambda each: each[0])],
            held,
        )
    except (KeyError, ValueError, TypeError, IndexError) as error:
        raise InvalidRecordsError(f"what is kept of the pool {name!r} makes no list: {error!r}") from None


def restored(
    state: State,
    generation: int,
    came: Mapping[str, int],
    left: Iterable[tuple[Entry, int]],
    held: Mapping[str, int],
) -> State:
    """A state from its layers: members with their start times, those that leave, and joins held back.
    Hazard: taken for a member, one that comes and goes would be one that was always there, and so warm."""
    state, _, _ = reduce(state, None, 0, Guards(allow_empty=True, damping=False))
    members = {
        ident: Member(member.number, member.entry, came.get(ident, 0))
        for ident, member in state.members.items()
        if ident not in held
    }
    held = {ident: until_us for ident, until_us in held.items() if ident in state.members}
    leaving, number = {}, state.last_number
    for entry, since_us in left:
        number += 1
        leaving[number] = Member(number, entry, 0), since_us
    return State(
        generation, True, state.layers, state.by_hand, members, leaving, held=held, last_number=number
    )


# Of all else


def other_records(kept: Kept, ahead: int) -> dict[Key, Any]:
    """What is kept beside lists: whole, as it is handed over whole."""
    found: dict[Key, Any] = {}
    for name, memory in kept.memories.items():
        found[MEANS, name] = [memory.at_us + ahead, dict(memory.means_us)]
        for (ident, address), old in memory.servers.items():
            found[JUDGED, name, ident, address] = [
                old.window,
                old.pace,
                old.faults,
                old.distrust,
                list(old.silence),
                list(old.mute),
            ]
    for name, limit in kept.limits.items():
        found[LIMIT, name] = [limit.salt.hex()]
        for number, free_us in limit.theoretical_arrivals_us.items():
            found[BUCKET, name, f"{number:x}"] = int(free_us) + ahead
    if kept.counts is not None:
        former = kept.counts
        found[COUNTS,] = [former.name, former.start_us + ahead, former.span_us, former.buckets]
        for key, (newest, counts) in former.rows.items():
            found[COUNT, f"{key:x}"] = [newest, list(counts)]
    return found


def others_of(found: Mapping[Key, Any], ahead: int) -> Kept:
    """What is kept beside lists. What makes no sense is left out: it is learnt anew."""
    at: dict[str, int] = {}
    means: dict[str, dict[str, float]] = {}
    judged: dict[str, dict[tuple[str, str], EndpointHistory]] = {}
    salts: dict[str, bytes] = {}
    buckets: dict[str, dict[int, float]] = {}
    rows: dict[int, tuple[int, tuple[int, ...]]] = {}
    for key, value in found.items():
        try:
            match key:
                case (kind, name) if kind == MEANS:
                    at[name] = int(value[0]) - ahead
                    means[name] = {str(each): float(mean_us) for each, mean_us in value[1].items()}
                case (kind, name, ident, address) if kind == JUDGED:
                    window, pace, faults, distrust, silence, mute = value
                    judged.setdefault(name, {})[ident, address] = EndpointHistory(
                        float(window),
                        float(pace),
                        float(faults),
                        float(distrust),
                        tuple(map(float, silence)),
                        tuple(map(int, mute)),
                    )
                case (kind, name) if kind == LIMIT:
                    salts[name] = bytes.fromhex(value[0])
                case (kind, name, number) if kind == BUCKET:
                    buckets.setdefault(name, {})[int(number, 16)] = float(value - ahead)
                case (kind, number) if kind == COUNT:
                    rows[int(number, 16)] = int(value[0]), tuple(map(int, value[1]))
        except (ValueError, TypeError, IndexError, AttributeError):
            continue
    former = None
    try:
        if (COUNTS,) in found:
            name, start_us, span_us, count = found[COUNTS,]
            former = Former(str(name), int(start_us) - ahead, int(span_us), int(count), rows)
    except (ValueError, TypeError):
        former = None
    memories = {
        name: PoolHistory(at[name], judged.get(name, {}), means[name]) for name in means if name in at
    }
    return Kept(
        {},
        memories,
        {name: RateLimiterState(salt, buckets.get(name, {})) for name, salt in salts.items()},
        former,
    )
