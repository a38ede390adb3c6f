"""Applies the endpoint lists of one pool's sources atomically.

An `EndpointList` is the complete list of one source. `apply_list` validates it, merges the lists of all
sources and returns which endpoints join, leave, drain or change. A list that fails validation changes
nothing. States are immutable, so a reader on another thread sees the state before a step or after it.
Removals and drains take effect as soon as their list is accepted; joins of flapping endpoints are delayed.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from plovertrail.decisions.flap_damping import RemovalCount, hold_down_us

Address = tuple[str, int]
StartTimes = Mapping[tuple[str, Address], int]  # by an endpoint's listed id and address

MAX_REMOVAL_COUNTS = 10_000  # the oldest are dropped first
REMOVED_RETENTION_US = 120_000_000  # how long a removed endpoint stays in the state
MAX_REPORTED = 5  # names or problems in one line of a report


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint as a source lists it."""

    id: str
    address: Address
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False
    model: str = ""
    started_us: int | None = None  # when it last started; 0 = long ago, None = unknown to the source


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete list of one source; `version` is 0 if the list has no version."""

    source: str
    endpoints: tuple[ListedEndpoint, ...]
    version: int = 0
    by_operator: bool = False  # from the operator's file: removals are intentional and not checked


@dataclass(frozen=True, slots=True)
class Guards:
    """Validation rules for lists; docs/membership.md gives the reasons for the defaults."""

    allow_empty: bool = False
    max_dropped_fraction: float = 0.5  # of the endpoints, that one list may remove or move
    min_checked_size: int = 4  # max_dropped_fraction doesn't apply to shorter lists
    allow_older_version: bool = False
    max_weight: float = 1000.0
    zones: frozenset[str] = frozenset()  # allowed zones; empty: any
    damping: bool = True  # delay joins of flapping endpoints
    allow_shared_addresses: bool = False  # as happens briefly while one endpoint replaces another


UNGUARDED = Guards(
    allow_empty=True,
    max_dropped_fraction=1.0,
    max_weight=math.inf,
    damping=False,
    allow_shared_addresses=True,
)  # for trusted sources, such as the platform


@dataclass(frozen=True, slots=True)
class EndpointMember:
    """An endpoint in use.

    An endpoint id is never reused, so that no statistics and no connections of an endpoint pass to its
    successor.
    """

    endpoint_id: int
    listed: ListedEndpoint  # `drain` is set if any source or the operator drains it
    started_us: int  # 0 = long ago


@dataclass(frozen=True, slots=True)
class EndpointListState:
    """The state of a pool's endpoints."""

    generation: int = 0  # counts the steps that changed a member
    started: bool = False  # set by the owner after the first lists: endpoints added later warm up
    layers: tuple[EndpointList, ...] = ()  # the last accepted list of each source, highest precedence first
    drained_by_operator: frozenset[str] = frozenset()
    members: Mapping[str, EndpointMember] = field(default_factory=dict)
    removed: Mapping[int, tuple[EndpointMember, int]] = field(default_factory=dict)  # with the removal time
    removal_counts: Mapping[str, RemovalCount] = field(default_factory=dict)
    held_joins: Mapping[str, int] = field(default_factory=dict)  # delayed joins, with the time they are due
    rejected_lists: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # problems by source
    last_endpoint_id: int = 0


class ChangeKind(enum.Enum):
    """What changed for an endpoint; the values are logged."""

    JOIN = "joins"
    LEAVE = "leaves"
    DRAIN = "drains"
    UNDRAIN = "drains no more"
    CHANGE = "changes"


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """One endpoint's change in a step; `member` is as it is after the change, or was before it left."""

    kind: ChangeKind
    member: EndpointMember


@dataclass(frozen=True, slots=True)
class ListReport:
    """Messages for operators: `problems` are repeated while they persist, `notices` appear once."""

    problems: tuple[str, ...] = ()
    notices: tuple[str, ...] = ()


class ListStep(NamedTuple):
    """The result of a step: the new state, the changes to members, and the report."""

    state: EndpointListState
    changes: tuple[EndpointChange, ...]
    report: ListReport


@dataclass(frozen=True, slots=True)
class ListContext:
    """What applying a list depends on, besides the state."""

    order: Sequence[str] = ()  # all sources, highest precedence first; lists of other sources are dropped
    other_pools: StartTimes | None = None  # an endpoint known from another pool doesn't warm up again


def list_problems(state: EndpointListState, listed: EndpointList, guards: Guards) -> tuple[str, ...]:
    """Return all validation errors of a list; it is accepted only if there are none."""
    problems = _endpoint_problems(listed, guards)
    if not listed.by_operator:
        problems += _change_problems(state, listed, guards)
    return tuple(problems)


def _endpoint_problems(listed: EndpointList, guards: Guards) -> list[str]:
    """Return the validation errors of a list's endpoints."""
    problems: list[str] = []
    ids: set[str] = set()
    addresses: dict[Address, str] = {}
    for endpoint in listed.endpoints:
        if endpoint.id in ids:
            problems.append(f'two servers are called "{endpoint.id}"')
        if endpoint.address in addresses and not guards.allow_shared_addresses:
            problems.append(f'"{endpoint.id}" has the address of "{addresses[endpoint.address]}"')
        if not (math.isfinite(endpoint.weight) and 0 < endpoint.weight <= guards.max_weight):
            problems.append(
                f'"{endpoint.id}" has a weight of {endpoint.weight}: '
                f"must be greater than 0 and at most {guards.max_weight:g}"
            )
        if guards.zones and endpoint.zone not in guards.zones:
            problems.append(f'"{endpoint.id}" is in the unknown zone "{endpoint.zone}"')
        ids.add(endpoint.id)
        addresses[endpoint.address] = endpoint.id
    return problems


def _change_problems(state: EndpointListState, listed: EndpointList, guards: Guards) -> list[str]:
    """Return the validation errors of a list in comparison with the last accepted list of its source."""
    problems: list[str] = []
    if not listed.endpoints and not guards.allow_empty:
        problems.append("the list is empty")
    previous = next((layer for layer in state.layers if layer.source == listed.source), None)
    if previous is None:
        return problems
    if 0 < listed.version < previous.version and not guards.allow_older_version:
        problems.append(f"its version {listed.version} goes backwards, from {previous.version}")
    present = {(endpoint.id, endpoint.address) for endpoint in listed.endpoints}
    dropped = sum(1 for endpoint in previous.endpoints if (endpoint.id, endpoint.address) not in present)
    previous_size = len(previous.endpoints)
    checked = bool(listed.endpoints) and previous_size >= guards.min_checked_size
    if checked and dropped > guards.max_dropped_fraction * previous_size:
        problems.append(
            f"it drops or moves {dropped} of {previous_size} servers at once: "
            f"more than {guards.max_dropped_fraction:.0%}"
        )
    return problems


def merge_lists(
    layers: Iterable[EndpointList], drained_by_operator: frozenset[str], allow_shared_addresses: bool = False
) -> dict[str, ListedEndpoint]:
    """Merge the lists of all sources, highest precedence first, into one endpoint for each id.

    The first source that lists an id defines the endpoint, but it drains if any source or the operator
    drains it. An endpoint with the address of one listed earlier under another id is omitted, unless shared
    addresses are allowed.
    """
    merged: dict[str, ListedEndpoint] = {}
    owners: dict[Address, str] = {}
    draining = set(drained_by_operator)
    for layer in layers:
        for endpoint in layer.endpoints:
            if endpoint.drain:
                draining.add(endpoint.id)
            if endpoint.id in merged:
                continue
            owner = owners.setdefault(endpoint.address, endpoint.id)
            if owner == endpoint.id or allow_shared_addresses:
                merged[endpoint.id] = endpoint
    for name in draining & merged.keys():
        if not merged[name].drain:
            merged[name] = replace(merged[name], drain=True)
    return merged


def apply_list(
    state: EndpointListState,
    listed: EndpointList | None,
    now_us: int,
    guards: Guards,
    context: ListContext | None = None,
) -> ListStep:
    """Apply a new list, or None to make the delayed joins that are due."""
    context = context or ListContext()
    if listed is not None:
        problems = list_problems(state, listed, guards)
        if problems:
            rejected = {**state.rejected_lists, listed.source: problems}
            state = replace(state, rejected_lists=rejected)
            return ListStep(state, (), make_report(state, now_us))
        state = _with_layer(state, listed, context.order)
    # Not `or {}`: testing whether this mapping is empty may scan all pools.
    return _reconcile(state, now_us, guards, {} if context.other_pools is None else context.other_pools)


def _with_layer(state: EndpointListState, listed: EndpointList, order: Sequence[str]) -> EndpointListState:
    """Replace the last list of a source."""
    layers = {layer.source: layer for layer in state.layers} | {listed.source: listed}
    names = order or tuple(layers)
    rejected = {
        source: problems
        for source, problems in state.rejected_lists.items()
        if source != listed.source and source in names
    }
    ordered = tuple(layers[name] for name in names if name in layers)
    return replace(state, layers=ordered, rejected_lists=rejected)


def set_drained_by_operator(
    state: EndpointListState, name: str, drain: bool, now_us: int, guards: Guards
) -> ListStep:
    """Set or clear the operator's drain of an endpoint id, whether or not the id is listed."""
    drained = state.drained_by_operator | {name} if drain else state.drained_by_operator - {name}
    return _reconcile(replace(state, drained_by_operator=drained), now_us, guards, {})


class _Reconciliation:
    """One step that brings the members in line with the merged lists."""

    def __init__(self, state: EndpointListState, now_us: int, guards: Guards) -> None:
        self.state = state
        self.now_us = now_us
        self.guards = guards
        self.members: dict[str, EndpointMember] = {}
        self.removed = {
            endpoint_id: (member, since_us)
            for endpoint_id, (member, since_us) in state.removed.items()
            if since_us > now_us - REMOVED_RETENTION_US
        }
        self.removal_counts = dict(state.removal_counts)
        self.held_joins: dict[str, int] = {}
        self.last_endpoint_id = state.last_endpoint_id
        self.changes: list[EndpointChange] = []

    def remove(self, name: str, member: EndpointMember) -> None:
        """Remove a member that is no longer listed, or is listed at another address."""
        self.removed[member.endpoint_id] = member, self.now_us
        if self.guards.damping:
            removal_count = self.removal_counts.pop(name, None)  # reinserted below as the newest
            earlier = removal_count.removals_at(self.now_us) if removal_count is not None else 0.0
            self.removal_counts[name] = RemovalCount(1.0 + earlier, self.now_us)
        self.changes.append(EndpointChange(ChangeKind.LEAVE, member))

    def keep(self, name: str, member: EndpointMember, listed: ListedEndpoint) -> None:
        """Keep a member, and update it if its listing has changed."""
        if member.listed == listed:
            self.members[name] = member
            return
        kind = ChangeKind.CHANGE
        if member.listed.drain != listed.drain:
            kind = ChangeKind.DRAIN if listed.drain else ChangeKind.UNDRAIN
        started_us = member.started_us if listed.started_us is None else listed.started_us
        self.members[name] = EndpointMember(member.endpoint_id, listed, started_us)
        self.changes.append(EndpointChange(kind, self.members[name]))

    def join(self, name: str, listed: ListedEndpoint, other_pools: StartTimes) -> None:
        """Add a member, or delay its join if it flaps."""
        state = self.state
        removal_count = self.removal_counts.get(name)
        held_us = hold_down_us(removal_count, self.now_us) if self.guards.damping and state.started else 0
        until_us = state.held_joins.get(name, self.now_us + held_us)
        if until_us > self.now_us:
            self.held_joins[name] = until_us
            return
        started_us = self.now_us if state.started else 0
        if removal_count is None:
            started_us = other_pools.get((name, listed.address), started_us)
        if listed.started_us is not None:
            started_us = listed.started_us
        self.last_endpoint_id += 1
        self.members[name] = EndpointMember(self.last_endpoint_id, listed, started_us)
        self.changes.append(EndpointChange(ChangeKind.JOIN, self.members[name]))

    def result(self) -> ListStep:
        """Return the result of the step."""
        while len(self.removal_counts) > MAX_REMOVAL_COUNTS:
            del self.removal_counts[next(iter(self.removal_counts))]
        changes = tuple(self.changes)
        state = replace(
            self.state,
            members=self.members,
            removed=self.removed,
            removal_counts=self.removal_counts,
            held_joins=self.held_joins,
            last_endpoint_id=self.last_endpoint_id,
            generation=self.state.generation + bool(changes),
        )
        return ListStep(state, changes, make_report(state, self.now_us, changes))


def _reconcile(state: EndpointListState, now_us: int, guards: Guards, other_pools: StartTimes) -> ListStep:
    """Bring the members in line with the merged lists."""
    wanted = merge_lists(state.layers, state.drained_by_operator, guards.allow_shared_addresses)
    reconciliation = _Reconciliation(state, now_us, guards)
    for name, member in state.members.items():
        listed = wanted.get(name)
        if listed is None or listed.address != member.listed.address:
            reconciliation.remove(name, member)
    for name, listed in wanted.items():
        member_before = state.members.get(name)
        if member_before is not None and member_before.listed.address == listed.address:
            reconciliation.keep(name, member_before, listed)
        else:
            reconciliation.join(name, listed, other_pools)
    return reconciliation.result()


def make_report(
    state: EndpointListState, now_us: int, changes: tuple[EndpointChange, ...] = ()
) -> ListReport:
    """Report a state and the changes that led to it to operators."""
    problems = [
        f"the list of {source} is refused, the last good one stays: {'; '.join(_truncated(found))}"
        for source, found in state.rejected_lists.items()
    ]
    held_joins = state.held_joins
    if held_joins:
        longest_s = (max(held_joins.values()) - now_us) / 1e6
        problems.append(
            f"{len(held_joins)} servers come and go, and are held back for up to {longest_s:.0f} s: "
            f"{', '.join(_truncated(tuple(held_joins)))}"
        )
    names: dict[ChangeKind, list[str]] = {}
    for change in changes:
        names.setdefault(change.kind, []).append(change.member.listed.id)
    notices = [f"{', '.join(_truncated(tuple(each)))}: {kind.value}" for kind, each in names.items()]
    return ListReport(tuple(problems), tuple(notices))


def _truncated(words: tuple[str, ...]) -> tuple[str, ...]:
    """Truncate a list: 10,000 bad endpoints would otherwise make a log line of a megabyte."""
    if len(words) <= MAX_REPORTED:
        return words
    return (*words[:MAX_REPORTED], f"and {len(words) - MAX_REPORTED} more")


def next_join_us(state: EndpointListState) -> int | None:
    """Return when the next delayed join is due; None if there is none."""
    return min(state.held_joins.values(), default=None)
