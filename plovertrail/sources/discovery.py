"""The upstream list: discovery's entries, and the watch on their changes."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import ipaddress
import json
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from plovertrail.clock import clock_us
from plovertrail.config.platform import parse_address
from plovertrail.decisions.endpoint_list import (
    UNGUARDED,
    ChangeKind,
    EndpointChange,
    EndpointList,
    EndpointListState,
    ListedEndpoint,
    apply_list,
)
from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.poll_schedule import POLL_TIMEOUT_US, WATCH_TIMEOUT_US

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = POLL_TIMEOUT_US / 1e6
IDLE_TIMEOUT_S = WATCH_TIMEOUT_US / 1e6
REOPEN_DELAY_S = (
    0.1  # a call to an agent on this machine costs nothing, and what it has counts as told, at once
)
MAX_LINE_BYTES = 4 * 1024 * 1024  # about 25,000 servers
MAX_INLINE_LINE_BYTES = (
    64 * 1024
)  # hazard: a longer one, or a change among more servers, holds up the loop for too
MAX_INLINE_SERVERS = 500  # long; so these are read on a thread, which gives way every few milliseconds
# hazard: the collector goes through all that is known of so many servers when a list comes, and stops all
# threads for 50 ms; what there is before and after the first long one stays, by and large, and is taken out
# of its sight
FREEZE_DELAY_S = 1.0
MAX_UNREAD_LINES = 64  # lines that wait for this,
MAX_UNREAD_BYTES = 2 * MAX_LINE_BYTES  # and their bytes; then no more is taken from the watch
STATES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.REMOVED}
Address = tuple[str, int]
OnUpdate = Callable[[EndpointsUpdated, dict[int, Address]], None]


class OlderChangeError(ValueError):
    """A change from before what is known: discovery has been put back, or one that lags has answered."""


def parse_ipv4_address(text: str) -> Address:
    """Hazard: a name would be looked up, and a port out of range leave each attempt to its time-out."""
    host, port = parse_address(text)
    if port > 65_535:
        raise ValueError(f"no port: {text!r}")
    return str(ipaddress.IPv4Address(host)), port


def decode_line(line: bytes) -> Any:
    """A list as discovery writes it. Hazard: read in one call, a long one would hold up all threads; so a
    function of Python's own is called for each entry."""
    return (
        json.loads(line)
        if len(line) <= MAX_INLINE_LINE_BYTES
        else json.loads(line, object_hook=lambda entry: entry)
    )


class Directory:
    """Turns discovery's lists into the module's events, through the reducer that all sources go through. No
    guard holds a list of the platform's back: its drains count from the moment that it tells them."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.state = EndpointListState()
        self.to_clock_us = clock_us() - time.time_ns() // 1000  # from Unix time, once for all

    @property
    def endpoint_count(self) -> int:
        """The number of servers in force, those that drain included."""
        return len(self.state.members)

    def read_line(self, line: bytes, known_version: int = 0) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """The event for one line of a watch; `known` is the version of what it changes."""
        return self.read(decode_line(line), known_version=known_version)

    def read(
        self, lines: Any, kind: ListKind | None = None, known_version: int = 0
    ) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """The event for one list, with the addresses of its entries; raises on what is malformed, and then
        nothing of it has been taken. Hazard: a change from before the known version would put a server that
        was told to drain back to work (rule 3); a whole list holds whatever its version is."""
        rev = int(lines["rev"])
        if kind is None:
            kind = ListKind.FULL if lines["all"] else ListKind.DELTA
        if kind is ListKind.DELTA and rev < known_version:
            raise OlderChangeError(f"a change of version {rev} after version {known_version}")
        listed: dict[str, ListedEndpoint] = {}
        if kind is ListKind.DELTA:
            listed = {entry.id: entry for layer in self.state.layers for entry in layer.endpoints}
        for line in lines["targets"]:
            entry = self.listed_endpoint(line)
            listed.pop(entry.id, None)
            if STATES[line["state"]] is not EndpointStatus.REMOVED:
                listed[entry.id] = entry
        candidate = EndpointList("discovery", tuple(listed.values()))
        self.state, changes, report = apply_list(self.state, candidate, clock_us(), UNGUARDED)
        if report.problems:
            raise ValueError(report.problems[0])
        if kind is not ListKind.DELTA:
            changes = tuple(EndpointChange(ChangeKind.JOIN, member) for member in self.state.members.values())
        entries = [self.updated_endpoint(change) for change in changes]
        addresses = {change.member.endpoint_id: change.member.listed.address for change in changes}
        return EndpointsUpdated(kind, entries, rev), addresses

    def listed_endpoint(self, line: Any) -> ListedEndpoint:
        """One of discovery's entries as sources have them."""
        boot_ms = int(line["boot_ms"])
        weight = float(line["capacity_hint"])
        drains = STATES[line["state"]] is EndpointStatus.DRAINING
        return ListedEndpoint(
            str(line["uid"]),
            parse_ipv4_address(line["endpoint"]),
            line["az"],
            str(int(line["pod_group"])),
            weight if 0 < weight < math.inf else 1.0,
            drains,
            line["model"],
            boot_ms * 1000 + self.to_clock_us if boot_ms else 0,
        )

    def updated_endpoint(self, change: EndpointChange) -> Endpoint:
        """A changed server as the module knows it."""
        member, entry = change.member, change.member.listed
        state = EndpointStatus.DRAINING if entry.drain else EndpointStatus.READY
        return Endpoint(
            id=member.endpoint_id,
            state=EndpointStatus.REMOVED if change.kind is ChangeKind.LEAVE else state,
            zone=self.zones.index(entry.zone) if entry.zone in self.zones else len(self.zones),
            kind=self.kinds.index(entry.model) if entry.model in self.kinds else len(self.kinds),
            cell=int(entry.cell),
            weight=entry.weight,
            started_us=member.started_us,
        )


class Watch(asyncio.Protocol):
    """One call for changes: it lasts until its connection ends, and then has failed."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.address = discovery.address
        self.pending = b""
        self.list_lines: list[bytes] = []  # the lines so far of a list that comes indented,
        self.list_bytes = 0  # their bytes,
        self.open_braces = 0  # and how many braces are open
        self.answered = False  # it is up: from then on there is something to hear every 2 s
        self.stalled = False  # it has ended for want of that

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for all changes since the known version; a watch that was replaced meanwhile closes instead."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is not self.discovery.watch:  # it was replaced while its connection came up
            transport.abort()
            return
        host, port = self.discovery.address
        transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self.discovery.version, host.encode(), port)
        )

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser; bytes that can't be read are logged and end the watch."""
        try:
            self.parser.feed_data(data)
        except Exception as error:
            log.warning("the watch can't be read: %r", error)
            self.fail()

    def on_body(self, data: bytes) -> None:
        """Pass on each line that is complete. Raises ValueError, which ends the watch, if an unfinished line
        or list holds more than LONGEST_LINE bytes; the body of an answer other than 200 is ignored."""
        if self.parser.get_status_code() != 200:
            return
        self.answered = True
        self.discovery.note_activity()
        *lines, self.pending = (self.pending + data).split(b"\n")
        if len(self.pending) + self.list_bytes > MAX_LINE_BYTES:
            raise ValueError("a line without end")
        for line in lines:
            self.handle_line(line)

    def handle_line(self, line: bytes) -> None:
        """One line: a whole list, or part of one that comes indented. That begins with a brace alone, and no
        empty line is within it. Hazard: what was cut would else be waited for, and all behind it be lost."""
        text = line.strip()
        if not self.list_lines and text != b"{":
            if text:
                self.discovery.line_received(self, line)
            return
        if not text:
            raise ValueError("a list that ends in its middle")
        self.list_lines.append(line)
        self.list_bytes += len(line)
        self.open_braces += text.count(b"{") - text.count(b"}")
        if self.open_braces <= 0:
            whole, self.list_lines, self.list_bytes, self.open_braces = b"\n".join(self.list_lines), [], 0, 0
            self.discovery.line_received(self, whole)

    def on_message_complete(self) -> None:
        """The answer has ended, and with it the watch: it counts as failed, as no answer should end."""
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended, with an error or without one: the watch has failed."""
        self.fail()

    def fail(self) -> None:
        """Close the connection and report the end to the owner, after a last line that lacks only its line
        end."""
        rest, self.pending = self.pending, b""
        if self is self.discovery.watch and rest.endswith(b"}"):
            # hazard: where only the end of its line was cut a change has been told, and counts
            with contextlib.suppress(Exception):
                self.handle_line(rest)
        if self.transport is not None:
            self.transport.abort()
        self.discovery.watch_ended(self)


class Discovery:
    """Holds the watch that the module has asked for, and tells how it fails, once for each call."""

    def __init__(self, address: Address, directory: Directory, on_update: OnUpdate) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.directory = directory
        self.on_update = on_update
        self.version = 0
        self.subscribed = False  # the module wants to be told, also while it waits to ask again
        self.held_open = False  # an agent has the list: the watch is opened anew whenever it ends
        self.watch: Watch | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_activity_s = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.unread: deque[tuple[Watch, bytes]] = deque()
        self.reader_task: asyncio.Task[None] | None = None  # the one that reads them
        self.unread_bytes = 0
        self.frozen = False

    def load_cached(self, lines: Any) -> None:
        """The list as the sidecar last had it."""
        try:
            event, addresses = self.directory.read(lines, ListKind.CACHED)
        except Exception as error:
            # hazard: an old list that can't be read would keep the sidecar from ever asking for a new one
            log.warning("the known list can't be read: %r", error)
            return
        self.version = event.version
        self.on_update(event, addresses)

    def subscribe(self, active: bool) -> None:
        """Ask for changes from now on, or stop. Hazard: a call that is out has its turn at discovery; ended
        for a new one it would be asked anew again and again and never heard. It ends by itself in time."""
        self.subscribed = active
        if not active:
            self.stop()
        elif self.watch is None:
            self.watch = Watch(self)
            self.note_activity()
            self.timer = self.loop.call_later(IDLE_TIMEOUT_S, self.check_timeout)
            self.connect_task = self.loop.create_task(self.connect(self.watch))

    def hold_open(self) -> None:
        """Lists are pushed to an agent beside us, and the module asks for none: watch the agent for good."""
        self.held_open = True
        self.subscribe(True)

    def reopen(self) -> None:
        """Start a watch if none is open and changes are still wanted."""
        if self.watch is None and self.subscribed:
            self.subscribe(True)

    def change_address(self, address: Address) -> None:
        """Discovery has another address: watch there at once."""
        if address == self.address:
            return
        self.address = address
        self.version = 0  # hazard: the old one's versions mean nothing here, so the whole list is asked for
        self.stop()
        if self.subscribed:
            self.subscribe(True)

    def stop(self) -> None:
        """End the watch under way with its dial and its timer, without a report of failure."""
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: Watch) -> None:
        """Open the watch's connection; one that can't be opened ends the watch as failed."""
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except OSError:
            self.watch_ended(watch)

    def note_activity(self) -> None:
        """Note that discovery has just been heard, from which its silence is measured."""
        self.last_activity_s = time.monotonic()

    def check_timeout(self) -> None:
        """Hazard: a machine that is cut off says nothing, and its watch would stay open for ever."""
        watch = self.watch
        if watch is None:
            return
        bound_s = IDLE_TIMEOUT_S if watch.answered else ANSWER_TIMEOUT_S
        left = self.last_activity_s + bound_s - time.monotonic()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check_timeout)
        else:
            log.warning("the watch is silent" if watch.answered else "discovery doesn't answer")
            watch.stalled = watch.answered
            watch.fail()

    def line_received(self, watch: Watch, line: bytes) -> None:
        """A list or a change has come; raises on what is malformed, if it is read at once."""
        if (
            self.reader_task is None
            and len(line) <= MAX_INLINE_LINE_BYTES
            and self.directory.endpoint_count <= MAX_INLINE_SERVERS
        ):
            try:
                self.apply_update(watch, *self.directory.read_line(line, self.known_version_for(watch)))
            except OlderChangeError:
                self.reset_after_rollback(watch)
                raise
            return
        self.unread.append((watch, line))
        self.unread_bytes += len(line)
        if watch.transport is not None and (
            len(self.unread) >= MAX_UNREAD_LINES or self.unread_bytes >= MAX_UNREAD_BYTES
        ):
            watch.transport.pause_reading()
        if not self.frozen:
            self.frozen = True
            gc.freeze()
            self.loop.call_later(FREEZE_DELAY_S, gc.freeze)
        if self.reader_task is None:
            self.reader_task = self.loop.create_task(self.read_unread())

    async def read_unread(self) -> None:
        """In the order in which they came. Those of a watch that has ended count too: they have been told."""
        while self.unread:
            watch, line = self.unread.popleft()
            self.unread_bytes -= len(line)
            try:
                read = await asyncio.to_thread(self.directory.read_line, line, self.known_version_for(watch))
                self.apply_update(watch, *read)
            except Exception as error:
                log.warning("the watch can't be read: %r", error)
                if isinstance(error, OlderChangeError):
                    self.reset_after_rollback(watch)
                watch.fail()
            self.note_activity()  # what was not taken meanwhile is no silence
            if (
                watch.transport is not None
                and len(self.unread) < MAX_UNREAD_LINES // 2
                and self.unread_bytes < MAX_UNREAD_BYTES // 2
            ):
                watch.transport.resume_reading()
        self.reader_task = None

    def known_version_for(self, watch: Watch) -> int:
        """The version that a watch's changes are held against; hazard: those of another address mean nothing
        here."""
        return self.version if watch.address == self.address else 0

    def reset_after_rollback(self, watch: Watch) -> None:
        """A change from before what is known has come: what follows it on this watch is of another past as
        well, and the whole list is asked for."""
        if watch.address == self.address:
            self.version = 0
        self.unread = deque(each for each in self.unread if each[0] is not watch)
        self.unread_bytes = sum(len(line) for _, line in self.unread)

    def apply_update(self, watch: Watch, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        """Pass an event on to the listener, and remember its version if the watch is of the current
        address."""
        if watch.address == self.address:  # hazard: the versions of another one mean nothing here
            self.version = event.version
        self.on_update(event, addresses)

    def watch_ended(self, watch: Watch) -> None:
        """Report that a watch has failed, once and only if it is the current one; with `pushed` set, it is
        opened anew after REOPEN_S seconds."""
        if watch is self.watch:
            self.stop()
            self.on_update(EndpointsUpdated(ListKind.FAILED, watch_stalled=watch.stalled), {})
            if self.held_open:
                self.loop.call_later(REOPEN_DELAY_S, self.reopen)
