"""Records of a pool's endpoint lists: the changes between two states, and a state rebuilt from records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from plovertrail.decisions.endpoint_list import (
    EndpointList,
    EndpointListState,
    EndpointMember,
    Guards,
    ListedEndpoint,
    apply_list,
)
from plovertrail.decisions.flap_damping import MAX_HOLD_DOWN_US
from plovertrail.store.errors import InvalidRecordsError
from plovertrail.store.records import ENDPOINT, JOIN_HELD, POOL, REMOVED, STARTED, Key, Record


def _endpoint_value(entry: ListedEndpoint) -> list[Any]:
    return [*entry.address, entry.zone, entry.cell, entry.weight, entry.drain]


def _endpoint(name: str, value: Any) -> ListedEndpoint:
    host, port, zone, cell, weight, drain = value
    return ListedEndpoint(str(name), (str(host), int(port)), str(zone), str(cell), float(weight), bool(drain))


def _pool_value(state: EndpointListState) -> list[Any]:
    return [
        state.generation,
        sorted(state.drained_by_operator),
        [[layer.source, layer.version, layer.by_operator] for layer in state.layers],
    ]


def changed_records(
    pool: str, before: EndpointListState, after: EndpointListState, clock_offset_us: int
) -> list[Record]:
    """List the records that turn one state of a pool into another.

    States share the objects that didn't change, so most are skipped by identity: after one change among
    10,000 endpoints, each of the others costs one comparison of references.
    """
    if before is after:
        return []
    records: list[Record] = []
    if _pool_value(before) != _pool_value(after):
        records.append(((POOL, pool), _pool_value(after)))
    records += _source_changes(pool, before, after)
    records += _start_changes(pool, before, after, clock_offset_us)
    records += _removal_changes(pool, before, after, clock_offset_us)
    records += _hold_changes(pool, before, after, clock_offset_us)
    return records


def _source_changes(pool: str, before: EndpointListState, after: EndpointListState) -> Iterator[Record]:
    """Yield records for the endpoints that changed in the list of each source."""
    old_layers = {layer.source: layer for layer in before.layers}
    for layer in after.layers:
        old_layer = old_layers.pop(layer.source, None)
        if old_layer is layer:
            continue
        old_entries = {entry.id: entry for entry in old_layer.endpoints} if old_layer is not None else {}
        for entry in layer.endpoints:
            old_entry = old_entries.pop(entry.id, None)
            if old_entry is not entry and old_entry != entry:
                yield (ENDPOINT, pool, layer.source, entry.id), _endpoint_value(entry)
        for name in old_entries:
            yield (ENDPOINT, pool, layer.source, name), None
    for layer in old_layers.values():
        for entry in layer.endpoints:
            yield (ENDPOINT, pool, layer.source, entry.id), None


def _start_changes(
    pool: str, before: EndpointListState, after: EndpointListState, clock_offset_us: int
) -> Iterator[Record]:
    """Yield records for changed start times; 0 means listed since the beginning, and has no record."""
    for name, member in after.members.items():
        old_member = before.members.get(name)
        if old_member is member:
            continue
        old_started_us = old_member.started_us if old_member is not None else 0
        if member.started_us != old_started_us:
            yield (STARTED, pool, name), member.started_us + clock_offset_us if member.started_us else None
    for name, member in before.members.items():
        if member.started_us and name not in after.members:
            yield (STARTED, pool, name), None


def _removal_changes(
    pool: str, before: EndpointListState, after: EndpointListState, clock_offset_us: int
) -> Iterator[Record]:
    """Yield records for the removed endpoints that changed.

    They are keyed by endpoint id, since one name may have been removed more than once.
    """
    for endpoint_id, (member, since_us) in after.removed.items():
        if endpoint_id not in before.removed:
            value = [member.listed.id, _endpoint_value(member.listed), since_us + clock_offset_us]
            yield (REMOVED, pool, str(endpoint_id)), value
    for endpoint_id in before.removed:
        if endpoint_id not in after.removed:
            yield (REMOVED, pool, str(endpoint_id)), None


def _hold_changes(
    pool: str, before: EndpointListState, after: EndpointListState, clock_offset_us: int
) -> Iterator[Record]:
    """Yield records for the held joins that changed: endpoints that flap and aren't admitted yet."""
    for name, until_us in after.held_joins.items():
        if before.held_joins.get(name) != until_us:
            yield (JOIN_HELD, pool, name), until_us + clock_offset_us
    for name in before.held_joins:
        if name not in after.held_joins:
            yield (JOIN_HELD, pool, name), None


def removal_records(pool: str, before: EndpointListState, clock_offset_us: int) -> list[Record]:
    """List the records that delete a pool.

    Without them, a pool configured later under the same name would start with outdated lists.
    """
    removed: list[Record] = [
        (key, None) for key, _ in changed_records(pool, EndpointListState(), before, clock_offset_us)
    ]
    return [*removed, ((POOL, pool), None)]


@dataclass(slots=True)
class _PoolRecords:
    """One pool's records, decoded and grouped by kind."""

    endpoints: dict[str, list[ListedEndpoint]]  # by source
    started_us: dict[str, int] = field(default_factory=dict)
    held_until_us: dict[str, int] = field(default_factory=dict)
    # former id, endpoint, removal time
    removed: list[tuple[int, ListedEndpoint, int]] = field(default_factory=list)

    def add(self, key: Key, value: Any, clock_offset_us: int, now_us: int) -> None:
        """Add one record; raises KeyError, ValueError, TypeError or IndexError.

        If the system clock was set back, stored times may lie in the future. Start and removal times are
        capped at now, and the end of a hold at the longest hold from now.
        """
        kind = key[0]
        if kind == ENDPOINT:
            self.endpoints[key[2]].append(_endpoint(key[3], value))
        elif kind == STARTED:
            self.started_us[key[2]] = min(now_us, int(value) - clock_offset_us)
        elif kind == JOIN_HELD:
            self.held_until_us[key[2]] = min(now_us + MAX_HOLD_DOWN_US, int(value) - clock_offset_us)
        elif kind == REMOVED:
            name, endpoint, since_us = value
            since_us = min(now_us, int(since_us) - clock_offset_us)
            self.removed.append((int(key[2]), _endpoint(name, endpoint), since_us))

    def removed_in_order(self) -> list[tuple[ListedEndpoint, int]]:
        """List the removed endpoints and their removal times, ordered by former id."""
        in_order = sorted(self.removed, key=lambda each: each[0])
        return [(entry, since_us) for _, entry, since_us in in_order]


def state_from_records(
    records: Mapping[Key, Any], pool: str, clock_offset_us: int, now_us: int
) -> EndpointListState:
    """Build a pool's state from its records; raises InvalidRecordsError.

    Endpoint ids are assigned anew, since they are valid within one process only.
    """
    try:
        generation, drained, sources = records[POOL, pool]
        pool_records = _PoolRecords({str(source): [] for source, _, _ in sources})
        for key, value in records.items():
            pool_records.add(key, value, clock_offset_us, now_us)
        layers = tuple(
            EndpointList(str(source), tuple(pool_records.endpoints[source]), int(version), bool(by_operator))
            for source, version, by_operator in sources
        )
        state = EndpointListState(
            generation=int(generation), drained_by_operator=frozenset(map(str, drained)), layers=layers
        )
        return restore_state(
            state, pool_records.started_us, pool_records.removed_in_order(), pool_records.held_until_us
        )
    except (KeyError, ValueError, TypeError, IndexError) as error:
        raise InvalidRecordsError(f"the stored records of the pool {pool!r} are invalid: {error!r}") from None


def restore_state(
    stored: EndpointListState,
    started_us: Mapping[str, int],
    removed: Iterable[tuple[ListedEndpoint, int]],
    held_until_us: Mapping[str, int],
) -> EndpointListState:
    """Add members, removed endpoints and held joins to a state that has only its layers.

    An endpoint whose join is held isn't made a member: as a member of a restored state it would count as
    listed since the beginning, and so as warmed up.
    """
    state = EndpointListState(layers=stored.layers, drained_by_operator=stored.drained_by_operator)
    state, _, _ = apply_list(state, None, 0, Guards(allow_empty=True, damping=False))
    members = {
        name: EndpointMember(member.endpoint_id, member.listed, started_us.get(name, 0))
        for name, member in state.members.items()
        if name not in held_until_us
    }
    held_joins = {name: until_us for name, until_us in held_until_us.items() if name in state.members}
    removed_members: dict[int, tuple[EndpointMember, int]] = {}
    last_id = state.last_endpoint_id
    for entry, since_us in removed:
        last_id += 1
        removed_members[last_id] = EndpointMember(last_id, entry, 0), since_us
    return EndpointListState(
        stored.generation,
        True,
        state.layers,
        state.drained_by_operator,
        members,
        removed_members,
        held_joins=held_joins,
        last_endpoint_id=last_id,
    )
