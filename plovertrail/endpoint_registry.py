"""Keeps one pool's servers: sources in, steps through the reducer, changes out to the pool's module."""

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
from plovertrail.decisions.endpoint_list import Address, Candidate, Guards, Kind, Member, State, Step
from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)

REPEAT_S = 10.0  # a loud report is repeated so often while it lasts
INLINE = "inline"
FEW_SERVERS = 500  # a step among no more of them takes less time on the loop than the way off it


class RegistryOwner(Protocol):
    """What a registry asks and tells the owner of all pools."""

    def endpoints_of_other_pools(self, pool: str) -> Mapping[tuple[str, Address], int]:
        """Since when (us) the endpoints of all pools but this are known, by id and address."""

    def endpoints_changed(self, pool: str) -> None:
        """The endpoints of a pool have changed."""

    def source_read(self, pool: str, source: str, problem: str) -> None:
        """A source of a pool was read; `problem` is empty if it gave a list."""

    def problems_persist(self, pool: str, persist: bool) -> None:
        """A pool's lists have a problem that is to be logged again and again, or have it no more."""


@lru_cache(maxsize=4096)
def name_number(name: str) -> int:
    """Zones and cells are told apart by number. Hazard: two cells of one number would get each other's
    repeats; 63 bits of a digest keep them apart, and no table of names grows."""
    return 1 + (int.from_bytes(hashlib.sha256(name.encode()).digest()[:8]) >> 1)


class EndpointRegistry:
    """The servers of one pool. It outlives the pool's module, which a reload may replace."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        state: State,
        owner: RegistryOwner,
        lists: ListReader,
    ) -> None:
        self.name = name
        self.dispatcher = dispatcher
        self.state = state
        self.owner = owner
        self.known_elsewhere = owner.endpoints_of_other_pools(name)
        self.guards = Guards()
        self.order: tuple[str, ...] = ()
        self.home_zone = ""
        self.pool: ServerPool | None = None
        self.lists = lists
        self.watches: dict[str, Subscription] = {}
        self.unreadable: dict[str, str] = {}  # what is wrong with a source that gives no list
        self.said: dict[str, float] = {}  # loud reports, and when they were last logged
        self.lock = asyncio.Lock()
        self.timer: asyncio.TimerHandle | None = None

    # Sources

    def configure(
        self,
        inline: tuple[endpoint_list.Entry, ...],
        sources: list[SourceKey],
        guards: Guards,
        home_zone: str,
        fresh: Mapping[SourceKey, FirstRead],
    ) -> None:
        """Follow a new setup; `fresh` has what the sources that are new hold. Hazard: a server that moves
        from one source to another is in neither for a moment, and would come back cold; so what is new goes
        first, and what the operator's own file no longer lists goes last."""
        if guards != self.guards:
            for watch in self.watches.values():
                watch.judge_again()
        self.guards, self.home_zone = guards, home_zone
        self.order = (INLINE, *(source.name for source in sources))
        self.unreadable = {name: told for name, told in self.unreadable.items() if name in self.order}
        for source in sources:
            watched = self.watches.get(source.name)
            found = fresh.get(source) if watched is None or watched.key != source else None
            if isinstance(found, str):
                self.unreadable[source.name] = found
            elif found is not None:
                self.unreadable.pop(source.name, None)
                layers = {layer.source for layer in self.state.layers}
                everything = (*self.order, *(name for name in layers if name not in self.order))
                self.carry_out(
                    endpoint_list.reduce(
                        self.state, found, clock_us(), guards, everything, self.known_elsewhere
                    )
                )
        self.step(Candidate(INLINE, inline, by_operator=True))
        self.state = replace(self.state, started=True)
        for name in self.watches.keys() - set(self.order):
            self.watches.pop(name).stop()
        for source in sources:
            old = self.watches.get(source.name)
            if old is None or old.key != source:
                if old is not None:
                    old.stop()
                self.watches[source.name] = self.lists.subscribe(source, self.name, self.taken, self.refused)

    async def taken(self, candidate: Candidate) -> str:
        """A source has a whole list; returns why it is refused, if it is. The step among many servers is made
        off the loop, as it takes long."""
        async with self.lock:
            self.unreadable.pop(candidate.source, None)
            if candidate.source not in self.order:
                return "it is followed no more"
            self.owner.source_read(self.name, candidate.source, "")
            before = self.state
            if len(candidate.entries) + len(before.members) <= FEW_SERVERS:
                self.step(candidate)
            else:
                step = await self.lists.off_loop(partial(self._reduced, before, candidate))
                if self.state is before:
                    self.carry_out(step)
                else:  # a hand drain or a reload came between
                    self.step(candidate)
            return "; ".join(self.state.refused.get(candidate.source, ()))

    async def refused(self, source: str, why: str) -> None:
        """A source has no list that can be used: the last good one stays."""
        if source in self.order:
            self.unreadable[source] = why
            self.owner.source_read(self.name, source, why)
            self.speak()

    def _reduced(self, state: State, candidate: Candidate | None) -> Step:
        return endpoint_list.reduce(
            state, candidate, clock_us(), self.guards, self.order, self.known_elsewhere
        )

    def step(self, candidate: Candidate | None) -> None:
        """One step on the loop."""
        self.carry_out(self._reduced(self.state, candidate))

    def drain(self, ident: str, drain: bool) -> None:
        """By the operator's hand; takes effect at once."""
        self.carry_out(endpoint_list.drained_by_hand(self.state, ident, drain, clock_us(), self.guards))

    # Effects

    def carry_out(self, step: Step) -> None:
        """Put a state into force: one assignment, and one event to the pool's module."""
        before = self.state
        self.state, changes, report = step
        if changes and self.pool is not None:
            entries = [self.upstream(change.member, change.kind is Kind.LEAVE) for change in changes]
            addresses = {change.member.number: change.member.entry.address for change in changes}
            self.dispatcher.pools.update_endpoints(
                self.pool, EndpointsUpdated(ListKind.DELTA, entries), addresses
            )
        for text in report.told:
            log.info("%s: generation %d: %s", self.name, self.state.generation, text)
        self.speak()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due_us = endpoint_list.next_due_us(self.state)
        if due_us is not None:
            self.timer = self.dispatcher.loop.call_later(
                max(0, due_us - clock_us() + 1000) / 1e6, self.step, None
            )
        if changes or self.state.by_hand != before.by_hand or self.state.layers is not before.layers:
            self.owner.endpoints_changed(self.name)

    def upstream(self, member: Member, gone: bool = False) -> Endpoint:
        """A member as the module knows it."""
        entry = member.entry
        state = EndpointStatus.DRAINING if entry.drain else EndpointStatus.READY
        zone = 0 if entry.zone == self.home_zone else name_number(entry.zone)
        return Endpoint(
            member.number,
            EndpointStatus.REMOVED if gone else state,
            zone,
            0,
            name_number(entry.cell),
            entry.weight,
            member.came_us,
        )

    def attach(self, pool: ServerPool) -> None:
        """A module begins with all members. Hazard: one that starts anew under load would open its slots one
        answer at a time."""
        self.pool = pool
        entries = [self.upstream(member) for member in self.state.members.values()]
        addresses = {member.number: member.entry.address for member in self.state.members.values()}
        self.dispatcher.pools.update_endpoints(pool, EndpointsUpdated(ListKind.CACHED, entries), addresses)

    # Reports

    def loud(self) -> tuple[str, ...]:
        """What is wrong now, and lasts."""
        unreadable = tuple(
            f"{source} gives no list, the last good one stays: {why}"
            for source, why in self.unreadable.items()
        )
        return unreadable + endpoint_list.report(self.state, clock_us()).loud

    def speak(self) -> None:
        """Log what is new, and what has lasted for long enough to be repeated. Hazard: a report for each poll
        would fill the log, and one alone scrolls away while the list stays wrong."""
        now = time.monotonic()
        lasting = self.loud()
        self.owner.problems_persist(self.name, bool(lasting))
        keys = {text[:60]: text for text in lasting}  # a figure in it may change with each look
        self.said = {key: at for key, at in self.said.items() if key in keys}
        for key, text in keys.items():
            if now - self.said.get(key, -REPEAT_S) >= REPEAT_S:
                self.said[key] = now
                log.error("%s: %s", self.name, text)

    def stop(self) -> None:
        """Stop watching the sources, and cancel the timer for joins that are held back; the state stays as it
        is."""
        for watch in self.watches.values():
            watch.stop()
        if self.timer is not None:
            self.timer.cancel()
