"""The upstream list: discovery's entries, and the watch on their changes."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import logging
import math
import time
from collections.abc import Callable
from typing import Any

import httptools

from plovertrail.clock import clock_us
from plovertrail.config.platform import parse_address
from plovertrail.decisions.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from plovertrail.decisions.membership import UNGUARDED, Candidate, Change, Entry, Kind, State, reduce

log = logging.getLogger(__name__)

SILENCE_S = 4.5  # an empty line comes every 2 s
LONGEST_LINE = 1024 * 1024
STATES = {"active": UpstreamState.READY, "leaving": UpstreamState.DRAINING, "left": UpstreamState.GONE}
Address = tuple[str, int]
Listener = Callable[[UpstreamsUpdated, dict[int, Address]], None]


def endpoint(text: str) -> Address:
    """Hazard: a name would be looked up, and a port out of range leave each attempt to its time-out."""
    host, port = parse_address(text)
    if port > 65_535:
        raise ValueError(f"no port: {text!r}")
    return str(ipaddress.IPv4Address(host)), port


class Directory:
    """Turns discovery's lists into the module's events, through the reducer that all sources go through. No
    guard holds a list of the platform's back: its drains count from the moment that it tells them."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.state = State()
        self.to_clock_us = clock_us() - time.time_ns() // 1000  # from Unix time, once for all

    def read(self, lines: Any, kind: ListKind | None = None) -> tuple[UpstreamsUpdated, dict[int, Address]]:
        """The event for one list, with the addresses of its entries; raises on what is malformed, and then
        nothing of it has been taken."""
        if kind is None:
            kind = ListKind.FULL if lines["all"] else ListKind.DELTA
        listed: dict[str, Entry] = {}
        if kind is ListKind.DELTA:
            listed = {entry.id: entry for layer in self.state.layers for entry in layer.entries}
        for line in lines["targets"]:
            entry = self.entry(line)
            listed.pop(entry.id, None)
            if STATES[line["state"]] is not UpstreamState.GONE:
                listed[entry.id] = entry
        rev = int(lines["rev"])
        candidate = Candidate("discovery", tuple(listed.values()))
        self.state, changes, report = reduce(self.state, candidate, clock_us(), UNGUARDED)
        if report.loud:
            raise ValueError(report.loud[0])
        if kind is not ListKind.DELTA:
            changes = tuple(Change(Kind.JOIN, member) for member in self.state.members.values())
        entries = [self.upstream(change) for change in changes]
        addresses = {change.member.number: change.member.entry.address for change in changes}
        return UpstreamsUpdated(kind, entries, rev), addresses

    def entry(self, line: Any) -> Entry:
        """One of discovery's entries as sources have them."""
        boot_ms = int(line["boot_ms"])
        weight = float(line["capacity_hint"])
        drains = STATES[line["state"]] is UpstreamState.DRAINING
        return Entry(str(line["uid"]), endpoint(line["endpoint"]), line["az"], str(int(line["pod_group"])),
                     weight if 0 < weight < math.inf else 1.0, drains, line["model"],
                     boot_ms * 1000 + self.to_clock_us if boot_ms else 0)

    def upstream(self, change: Change) -> Upstream:
        """A changed server as the module knows it."""
        member, entry = change.member, change.member.entry
        state = UpstreamState.DRAINING if entry.drain else UpstreamState.READY
        return Upstream(
            id=member.number,
            state=UpstreamState.GONE if change.kind is Kind.LEAVE else state,
            zone=self.zones.index(entry.zone) if entry.zone in self.zones else len(self.zones),
            kind=self.kinds.index(entry.model) if entry.model in self.kinds else len(self.kinds),
            cell=int(entry.cell), weight=entry.weight, started_us=member.came_us)


class Watch(asyncio.Protocol):
    """One call for changes: it lasts until its connection ends, and then has failed."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is not self.discovery.watch:  # it was replaced while its connection came up
            transport.abort()
            return
        host, port = self.discovery.address
        transport.write(b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
                        % (self.discovery.version, host.encode(), port))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except Exception as error:
            log.warning("the watch can't be read: %r", error)
            self.fail()

    def on_body(self, data: bytes) -> None:
        if self.parser.get_status_code() != 200:
            return
        self.discovery.heard()
        *lines, self.pending = (self.pending + data).split(b"\n")
        if len(self.pending) > LONGEST_LINE:
            raise ValueError("a line without end")
        for line in lines:
            if line.strip():
                self.discovery.changed(json.loads(line))

    def on_message_complete(self) -> None:
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        self.fail()

    def fail(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.discovery.ended(self)


class Discovery:
    """Holds the watch that the module has asked for, and tells how it fails, once for each call."""

    def __init__(self, address: Address, directory: Directory, listener: Listener) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.directory = directory
        self.listener = listener
        self.version = 0
        self.active = False  # the module wants to be told, also while it waits to ask again
        self.watch: Watch | None = None
        self.dial: asyncio.Task[None] | None = None
        self.heard_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def cached(self, lines: Any) -> None:
        """The list as the sidecar last had it."""
        try:
            event, addresses = self.directory.read(lines, ListKind.CACHED)
        except Exception as error:
            # hazard: an old list that can't be read would keep the sidecar from ever asking for a new one
            log.warning("the known list can't be read: %r", error)
            return
        self.version = event.version
        self.listener(event, addresses)

    def subscribe(self, active: bool) -> None:
        """Ask for changes from now on, in place of an earlier call; or stop."""
        self.stop()
        self.active = active
        if active:
            self.watch = Watch(self)
            self.heard()
            self.timer = self.loop.call_later(SILENCE_S, self.check)
            self.dial = self.loop.create_task(self.connect(self.watch))

    def move(self, address: Address) -> None:
        """Discovery has another address: watch there at once."""
        if address == self.address:
            return
        self.address = address
        self.version = 0  # hazard: the old one's versions mean nothing here, so the whole list is asked for
        if self.active:
            self.subscribe(True)

    def stop(self) -> None:
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: Watch) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except OSError:
            self.ended(watch)

    def heard(self) -> None:
        self.heard_at = time.monotonic()

    def check(self) -> None:
        """Hazard: a machine that is cut off says nothing, and its watch would stay open for ever."""
        left = self.heard_at + SILENCE_S - time.monotonic()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        elif self.watch is not None:
            log.warning("the watch is silent")
            self.watch.fail()

    def changed(self, lines: Any) -> None:
        event, addresses = self.directory.read(lines)
        self.version = event.version
        self.listener(event, addresses)

    def ended(self, watch: Watch) -> None:
        if watch is self.watch:
            self.stop()
            self.listener(UpstreamsUpdated(ListKind.FAILED), {})
