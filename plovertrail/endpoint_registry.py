"""Applies the lists of a pool's sources, and passes the changes to the pool's load balancer."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import time
from collections.abc import Mapping
from dataclasses import replace
from functools import lru_cache, partial
from typing import Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions import endpoint_list
from plovertrail.decisions.endpoint_list import (
    ChangeKind,
    EndpointList,
    EndpointListState,
    EndpointMember,
    Guards,
    ListContext,
    ListedEndpoint,
    ListStep,
    StartTimes,
)
from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)

PROBLEM_LOG_INTERVAL_S = 10.0  # a problem is logged again this often while it persists
INLINE = "inline"  # the source for the endpoints in the operator's file itself
# endpoints; with no more, a step takes less time on the loop than moving it to a thread
MAX_INLINE_STEP = 500


class RegistryOwner(Protocol):
    """The methods of the owner of all pools that a registry calls."""

    def endpoints_of_other_pools(self, pool: str) -> StartTimes:
        """Return the start times (us) of the endpoints of all other pools, by id and address."""

    def endpoints_changed(self, pool: str) -> None:
        """Note that a pool's endpoints, or its lists, have changed."""

    def source_read(self, pool: str, source: str, problem: str) -> None:
        """Note that a source of a pool was read; `problem` is empty if it has a valid list."""

    def problems_persist(self, pool: str, persist: bool) -> None:
        """Note whether a pool's lists have a problem, which has to be logged at intervals."""


@lru_cache(maxsize=4096)
def name_hash(name: str) -> int:
    """Return a number that identifies a zone or a cell.

    Endpoints of two cells with the same number would count as deduplicating together. A digest of 63 bits
    makes that unlikely, and needs no table of names that grows.
    """
    return 1 + (int.from_bytes(hashlib.sha256(name.encode()).digest()[:8]) >> 1)


class EndpointRegistry:
    """The endpoints of one pool.

    The registry outlives the pool's load balancer, which a reload may replace.
    """

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        state: EndpointListState,
        owner: RegistryOwner,
        lists: ListReader,
    ) -> None:
        self.name = name
        self.dispatcher = dispatcher
        self.state = state
        self.lists = lists
        self.owner = owner
        self.endpoints_elsewhere = owner.endpoints_of_other_pools(name)
        self.guards = Guards()
        self.source_order: tuple[str, ...] = ()  # by falling precedence
        self.home_zone = ""
        self.pool: ServerPool | None = None
        self.subscriptions: dict[str, Subscription] = {}  # by source
        self.unreadable_sources: dict[str, str] = {}  # the problem of each, by source
        self.last_logged_s: dict[str, float] = {}  # by the beginning of a problem's text
        self.lock = asyncio.Lock()
        self.join_timer: asyncio.TimerHandle | None = None

    # Sources

    def configure(
        self,
        inline: tuple[ListedEndpoint, ...],
        sources: list[SourceKey],
        guards: Guards,
        home_zone: str,
        first_lists: Mapping[SourceKey, FirstRead],
    ) -> None:
        """Apply a new configuration; `first_lists` has the content of its new sources.

        An endpoint that moves from one source to another must always be listed in one of them, or it would be
        removed and warm up again. So new sources are added first, and the inline list is replaced after that.
        """
        if guards != self.guards:
            for subscription in self.subscriptions.values():
                subscription.deliver_again()
        self.guards = guards
        self.home_zone = home_zone
        self.source_order = (INLINE, *(source.name for source in sources))
        self.unreadable_sources = {
            name: problem for name, problem in self.unreadable_sources.items() if name in self.source_order
        }
        self._add_first_lists(sources, first_lists)
        self.apply_list(EndpointList(INLINE, inline, by_operator=True))
        self.state = replace(self.state, started=True)
        self._subscribe(sources)

    def _add_first_lists(self, sources: list[SourceKey], first_lists: Mapping[SourceKey, FirstRead]) -> None:
        """Add the lists of new sources, and for now keep those of sources that will be dropped."""
        for source in sources:
            subscription = self.subscriptions.get(source.name)
            if subscription is not None and subscription.key == source:
                continue
            first = first_lists.get(source)
            if isinstance(first, str):
                self.unreadable_sources[source.name] = first
            elif first is not None:
                self.unreadable_sources.pop(source.name, None)
                old_sources = {layer.source for layer in self.state.layers}
                order = (*self.source_order, *(name for name in old_sources if name not in self.source_order))
                context = ListContext(order, self.endpoints_elsewhere)
                self.apply_step(endpoint_list.apply_list(self.state, first, clock_us(), self.guards, context))

    def _subscribe(self, sources: list[SourceKey]) -> None:
        """Subscribe to these sources, and end all other subscriptions."""
        for name in self.subscriptions.keys() - set(self.source_order):
            self.subscriptions.pop(name).stop()
        for source in sources:
            old = self.subscriptions.get(source.name)
            if old is not None and old.key == source:
                continue
            if old is not None:
                old.stop()
            self.subscriptions[source.name] = self.lists.subscribe(
                source, self.name, self.list_read, self.list_unreadable
            )

    async def list_read(self, listed: EndpointList) -> str:
        """Apply the list of a source; returns why it is rejected, or an empty text.

        With many endpoints the step takes long and is computed on a thread.
        """
        async with self.lock:
            self.unreadable_sources.pop(listed.source, None)
            if listed.source not in self.source_order:
                return "the source is no longer followed"
            self.owner.source_read(self.name, listed.source, "")
            old_state = self.state
            if len(listed.endpoints) + len(old_state.members) <= MAX_INLINE_STEP:
                self.apply_list(listed)
            else:
                step = await self.lists.run_off_loop(partial(self._make_step, old_state, listed))
                if self.state is old_state:
                    self.apply_step(step)
                else:  # the operator's drain or a reload changed the state meanwhile
                    self.apply_list(listed)
            return "; ".join(self.state.rejected_lists.get(listed.source, ()))

    async def list_unreadable(self, source: str, problem: str) -> None:
        """Note that a source has no usable list; its last good list stays in force."""
        if source in self.source_order:
            self.unreadable_sources[source] = problem
            self.owner.source_read(self.name, source, problem)
            self.log_problems()

    def _make_step(self, state: EndpointListState, listed: EndpointList | None) -> ListStep:
        context = ListContext(self.source_order, self.endpoints_elsewhere)
        return endpoint_list.apply_list(state, listed, clock_us(), self.guards, context)

    def apply_list(self, listed: EndpointList | None) -> None:
        """Apply a list on the loop; with None, only make the delayed joins that are due."""
        self.apply_step(self._make_step(self.state, listed))

    def drain(self, name: str, drain: bool) -> None:
        """Start or end the drain of an endpoint by the operator's command; takes effect at once."""
        self.apply_step(
            endpoint_list.set_drained_by_operator(self.state, name, drain, clock_us(), self.guards)
        )

    # Effects

    def apply_step(self, step: ListStep) -> None:
        """Apply a new state by one assignment and one event to the pool's load balancer."""
        old_state = self.state
        self.state = step.state
        if step.changes and self.pool is not None:
            endpoints = [
                self._endpoint(change.member, removed=change.kind is ChangeKind.LEAVE)
                for change in step.changes
            ]
            addresses = {change.member.endpoint_id: change.member.listed.address for change in step.changes}
            self.dispatcher.pools.update_endpoints(
                self.pool, EndpointsUpdated(ListKind.DELTA, endpoints), addresses
            )
        for notice in step.report.notices:
            log.info("endpoints changed pool=%s generation=%d: %s", self.name, self.state.generation, notice)
        self.log_problems()
        self._schedule_next_join()
        layers_changed = self.state.layers is not old_state.layers
        drains_changed = self.state.drained_by_operator != old_state.drained_by_operator
        if step.changes or drains_changed or layers_changed:
            self.owner.endpoints_changed(self.name)

    def _schedule_next_join(self) -> None:
        """Set the timer for the next delayed join."""
        if self.join_timer is not None:
            self.join_timer.cancel()
            self.join_timer = None
        due_us = endpoint_list.next_join_us(self.state)
        if due_us is not None:
            delay_s = max(0, due_us - clock_us() + 1000) / 1e6
            self.join_timer = self.dispatcher.loop.call_later(delay_s, self.apply_list, None)

    def _endpoint(self, member: EndpointMember, removed: bool = False) -> Endpoint:
        """Describe a member for the load balancer."""
        listed = member.listed
        status = EndpointStatus.DRAINING if listed.drain else EndpointStatus.READY
        zone = 0 if listed.zone == self.home_zone else name_hash(listed.zone)
        return Endpoint(
            member.endpoint_id,
            EndpointStatus.REMOVED if removed else status,
            zone,
            0,
            name_hash(listed.cell),
            listed.weight,
            member.started_us,
        )

    def attach(self, pool: ServerPool) -> None:
        """Pass all members to a new load balancer at once, as a cached list.

        Otherwise a load balancer that starts under load would open the slots of each endpoint one response at
        a time.
        """
        self.pool = pool
        members = self.state.members.values()
        endpoints = [self._endpoint(member) for member in members]
        addresses = {member.endpoint_id: member.listed.address for member in members}
        self.dispatcher.pools.update_endpoints(pool, EndpointsUpdated(ListKind.CACHED, endpoints), addresses)

    # Reports

    def problems(self) -> tuple[str, ...]:
        """Return the problems that persist now."""
        unreadable = tuple(
            f"{source} gives no list, the last good one stays: {problem}"
            for source, problem in self.unreadable_sources.items()
        )
        return unreadable + endpoint_list.make_report(self.state, clock_us()).problems

    def log_problems(self) -> None:
        """Log new problems, and again those that were last logged PROBLEM_LOG_INTERVAL_S ago.

        A line per read would fill the log, and a single line would scroll away while the problem persists.
        """
        now_s = time.monotonic()
        problems = self.problems()
        self.owner.problems_persist(self.name, bool(problems))
        by_beginning = {text[:60]: text for text in problems}  # numbers further on may change with each read
        self.last_logged_s = {key: at_s for key, at_s in self.last_logged_s.items() if key in by_beginning}
        for key, text in by_beginning.items():
            if now_s - self.last_logged_s.get(key, -PROBLEM_LOG_INTERVAL_S) >= PROBLEM_LOG_INTERVAL_S:
                self.last_logged_s[key] = now_s
                log.error("endpoint list problem pool=%s: %s", self.name, text)

    def stop(self) -> None:
        """End all subscriptions and delayed joins; the state stays."""
        for subscription in self.subscriptions.values():
            subscription.stop()
        if self.join_timer is not None:
            self.join_timer.cancel()
