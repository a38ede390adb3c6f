"""The endpoints of one pool: what sources list becomes one atomic step, or nothing.

An `EndpointList` is the complete list of one source. `apply_list` checks it, merges the lists of all sources,
and tells which endpoints join, leave, drain or change. States are immutable values: a reader on another
thread sees one or the other, never a mixture. A removal or a drain is never held back once its list is
accepted; joins of flapping endpoints are.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from plovertrail.decisions.flap_damping import RemovalCount, hold_down_us

Address = tuple[str, int]
StartTimes = Mapping[tuple[str, Address], int]  # start times of the endpoints of other pools

MAX_REMOVAL_COUNTS = 10_000  # endpoints whose removals are remembered; the oldest go first
REMOVED_RETENTION_US = 120_000_000  # for so long a removed endpoint stays in the state
MAX_REPORTED = 5  # names or problems in one line of a report


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """What a source says of one endpoint."""

    id: str
    address: Address
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False
    model: str = ""
    started_us: int | None = None  # when it last started, 0 = long ago; None: the source doesn't know


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete list of one source; `version` 0 = it has none."""

    source: str
    endpoints: tuple[ListedEndpoint, ...]
    version: int = 0
    by_operator: bool = False  # written by hand into the operator's file: what it drops was meant


@dataclass(frozen=True, slots=True)
class Guards:
    """What a list must keep to; docs/membership.md has the reasons of the defaults."""

    allow_empty: bool = False
    max_dropped_fraction: float = 0.5  # of the endpoints, that one list may drop or move
    min_checked_size: int = 4  # of a list, below which that fraction says nothing
    allow_older_version: bool = False
    max_weight: float = 1000.0
    zones: frozenset[str] = frozenset()  # empty: any
    damping: bool = True  # hold back joins of flapping endpoints
    allow_shared_addresses: bool = False  # for a while, as one endpoint takes another's place


UNGUARDED = Guards(
    allow_empty=True,
    max_dropped_fraction=1.0,
    max_weight=math.inf,
    damping=False,
    allow_shared_addresses=True,
)  # for a source that is known to be right, as the platform's


@dataclass(frozen=True, slots=True)
class EndpointMember:
    """An endpoint in use.

    An id is never used again, so that nothing learnt of an endpoint, and no connection to it, passes to one
    that comes after it.
    """

    endpoint_id: int
    listed: ListedEndpoint  # `drain` as all sources together have it
    started_us: int  # 0 = long ago


@dataclass(frozen=True, slots=True)
class EndpointListState:
    """All that is known of a pool's endpoints."""

    generation: int = 0
    started: bool = False  # set by the owner once the first lists are in: endpoints added later warm up
    layers: tuple[EndpointList, ...] = ()  # the last good list of each source, the one that wins first
    drained_by_operator: frozenset[str] = frozenset()
    members: Mapping[str, EndpointMember] = field(default_factory=dict)
    removed: Mapping[int, tuple[EndpointMember, int]] = field(default_factory=dict)  # by id, since when
    removal_counts: Mapping[str, RemovalCount] = field(default_factory=dict)
    held_joins: Mapping[str, int] = field(default_factory=dict)  # until when each is held back
    rejected_lists: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # problems by source
    last_endpoint_id: int = 0


class ChangeKind(enum.Enum):
    """What happened to an endpoint; the values are logged."""

    JOIN = "joins"
    LEAVE = "leaves"
    DRAIN = "drains"
    UNDRAIN = "drains no more"
    CHANGE = "changes"


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """One endpoint's change in a step, with the member after the change; when it leaves, before it."""

    kind: ChangeKind
    member: EndpointMember


@dataclass(frozen=True, slots=True)
class ListReport:
    """What operators should see: `problems` as long as they persist, `notices` once."""

    problems: tuple[str, ...] = ()
    notices: tuple[str, ...] = ()


class ListStep(NamedTuple):
    """The result of a step: the new state, and what led to it."""

    state: EndpointListState
    changes: tuple[EndpointChange, ...]
    report: ListReport


@dataclass(frozen=True, slots=True)
class ListContext:
    """What a list is merged with."""

    order: Sequence[str] = ()  # all sources, the one that wins first; lists of others are dropped
    other_pools: StartTimes | None = None  # endpoints of other pools don't warm up again in this one


def list_problems(state: EndpointListState, listed: EndpointList, guards: Guards) -> tuple[str, ...]:
    """Find all that is wrong with a list; it is accepted only if nothing is."""
    problems = _endpoint_problems(listed, guards)
    if not listed.by_operator:
        problems += _change_problems(state, listed, guards)
    return tuple(problems)


def _endpoint_problems(listed: EndpointList, guards: Guards) -> list[str]:
    """Find what is wrong with the endpoints of a list."""
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
                f"expected more than 0, at most {guards.max_weight:g}"
            )
        if guards.zones and endpoint.zone not in guards.zones:
            problems.append(f'"{endpoint.id}" is in the unknown zone "{endpoint.zone}"')
        ids.add(endpoint.id)
        addresses[endpoint.address] = endpoint.id
    return problems


def _change_problems(state: EndpointListState, listed: EndpointList, guards: Guards) -> list[str]:
    """Find what is wrong with a list beside the source's last one."""
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
    """Merge the lists of all sources into one endpoint for each id.

    It is that of the first source that lists it, but drains if any source or the operator says so. An address
    that an earlier source has under another id belongs to that one, unless sharing is allowed.
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
    """Make one step with a new list, or without one when a join that was held back is due."""
    context = context or ListContext()
    if listed is not None:
        problems = list_problems(state, listed, guards)
        if problems:
            rejected = {**state.rejected_lists, listed.source: problems}
            state = replace(state, rejected_lists=rejected)
            return ListStep(state, (), make_report(state, now_us))
        state = _with_layer(state, listed, context.order)
    # Not `or {}`: whether the mapping is empty may take a look at all pools.
    return _reconcile(state, now_us, guards, {} if context.other_pools is None else context.other_pools)


def _with_layer(state: EndpointListState, listed: EndpointList, order: Sequence[str]) -> EndpointListState:
    """Put the list of one source in place of its last one."""
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
    """Drain an endpoint by the operator's command, or end that; it holds for the id, listed or not."""
    drained = state.drained_by_operator | {name} if drain else state.drained_by_operator - {name}
    return _reconcile(replace(state, drained_by_operator=drained), now_us, guards, {})


class _Reconciliation:
    """One step from the members as they are to what the sources list."""

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
        """Remove a member that is listed no more, or at another address."""
        self.removed[member.endpoint_id] = member, self.now_us
        if self.guards.damping:
            removal_count = self.removal_counts.pop(name, None)  # and put in again as the newest
            earlier = removal_count.removals_at(self.now_us) if removal_count is not None else 0.0
            self.removal_counts[name] = RemovalCount(1.0 + earlier, self.now_us)
        self.changes.append(EndpointChange(ChangeKind.LEAVE, member))

    def keep(self, name: str, member: EndpointMember, listed: ListedEndpoint) -> None:
        """Keep a member, with what is listed of it now."""
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
        """Add a member, or hold its join back if it flaps."""
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

    def step(self) -> ListStep:
        """Return the step that was made."""
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
    """Bring the members to what the sources list."""
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
    return reconciliation.step()


def make_report(
    state: EndpointListState, now_us: int, changes: tuple[EndpointChange, ...] = ()
) -> ListReport:
    """Report a state, and the changes that led to it, for operators."""
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
    """Shorten a list of words: of 10,000 bad endpoints the log would get one line of a megabyte."""
    if len(words) <= MAX_REPORTED:
        return words
    return (*words[:MAX_REPORTED], f"and {len(words) - MAX_REPORTED} more")


def next_join_us(state: EndpointListState) -> int | None:
    """Return when the next join that is held back is due; None: none is."""
    return min(state.held_joins.values(), default=None)
