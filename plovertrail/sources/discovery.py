"""The client of the platform's discovery service: endpoint lists, and a watch on their changes."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import httptools

from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.poll_schedule import POLL_TIMEOUT_US, WATCH_TIMEOUT_US
from plovertrail.sources.directory import MAX_INLINE_LINE_BYTES, Address, Directory, OlderChangeError
from plovertrail.sources.unread_lines import UnreadLine, UnreadLines

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = POLL_TIMEOUT_US / 1e6
IDLE_TIMEOUT_S = WATCH_TIMEOUT_US / 1e6
# Short, since a call to the agent on this machine costs nothing, and an update counts as known to this
# process as soon as the agent has it.
REOPEN_DELAY_S = 0.1
MAX_LINE_BYTES = 4 * 1024 * 1024  # about 25,000 endpoints
# With a long list the garbage collector would scan the objects of all endpoints and stop all threads for
# 50 ms. Most objects that exist before and after the first long list live on, so they are frozen: once before
# it is read, and again after this delay.
FREEZE_DELAY_S = 1.0
# With so many lines or bytes waiting for their turn, no more is read from the connection. Many lines may
# wait, as what they drain is told before.
MAX_UNREAD_LINES = 4096
MAX_UNREAD_BYTES = 2 * MAX_LINE_BYTES
OnUpdate = Callable[[EndpointsUpdated, dict[int, Address]], None]


class Watch(asyncio.Protocol):
    """One streaming request for changes. It lasts until the connection ends, which counts as a failure."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.address = discovery.address
        self.pending = b""
        self.list_lines: list[bytes] = []  # the lines received of an indented list
        self.list_bytes = 0  # their size
        self.open_braces = 0  # how many braces are open after them
        self.answered = False  # data has come; from then on a line comes every 2 s
        self.stalled = False  # it was ended because no line came

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request all changes since the known version; a watch that was replaced meanwhile closes instead."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is not self.discovery.watch:  # it was replaced while connecting
            transport.abort()
            return
        host, port = self.discovery.address
        transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self.discovery.version, host.encode(), port)
        )

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser; malformed data is logged and ends the watch."""
        try:
            self.parser.feed_data(data)
        except Exception as error:
            log.warning("malformed data from discovery, ending the watch: %r", error)
            self.fail()

    def on_body(self, data: bytes) -> None:
        """Handle each complete line; the body of a response other than 200 is ignored.

        Raises ValueError, which ends the watch, if an incomplete line or list exceeds MAX_LINE_BYTES.
        """
        if self.parser.get_status_code() != 200:
            return
        self.answered = True
        self.discovery.note_activity()
        *lines, self.pending = (self.pending + data).split(b"\n")
        if len(self.pending) + self.list_bytes > MAX_LINE_BYTES:
            raise ValueError("line or list is too long")
        for line in lines:
            self.handle_line(line)

    def handle_line(self, line: bytes) -> None:
        """Handle one line: a whole list, or a part of an indented one.

        An indented list begins with a line that is a single brace, and has no empty line within it. So an
        empty line shows that a list was truncated; without this check its end would be waited for, and all
        lists after it would be lost.
        """
        text = line.strip()
        if not self.list_lines and text != b"{":
            if text:
                self.discovery.line_received(self, line)
            return
        if not text:
            raise ValueError("list is truncated")
        self.list_lines.append(line)
        self.list_bytes += len(line)
        self.open_braces += text.count(b"{") - text.count(b"}")
        if self.open_braces <= 0:
            whole, self.list_lines, self.list_bytes, self.open_braces = b"\n".join(self.list_lines), [], 0, 0
            self.discovery.line_received(self, whole)

    def on_message_complete(self) -> None:
        """End the watch as failed: a response that streams changes should never end."""
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        """End the watch as failed, whether or not the connection ended with an error."""
        self.fail()

    def fail(self) -> None:
        """Close the connection and report the end.

        A last line that lacks only its line end is handled first.
        """
        rest, self.pending = self.pending, b""
        if self is self.discovery.watch and rest.endswith(b"}"):
            # The change counts as announced although its line end was cut off.
            with contextlib.suppress(Exception):
                self.handle_line(rest)
        if self.transport is not None:
            self.transport.abort()
        self.discovery.watch_ended(self)


class Discovery:
    """Runs the watch that the load balancer has requested, and reports each failure of it once."""

    def __init__(self, address: Address, directory: Directory, on_update: OnUpdate) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.directory = directory
        self.on_update = on_update
        self.version = 0
        self.subscribed = False  # the load balancer wants changes, also while it waits before a retry
        self.held_open = False  # the watch of an agent is reopened whenever it ends
        self.watch: Watch | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_activity_s = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.unread: UnreadLines[Watch] = UnreadLines(MAX_UNREAD_LINES, MAX_UNREAD_BYTES)
        self.reader_task: asyncio.Task[None] | None = None  # handles the unread lines
        self.frozen = False  # gc.freeze() was called for the first long list

    def load_cached(self, listing: Any) -> None:
        """Apply the list that was last known."""
        try:
            event, addresses = self.directory.read(listing, ListKind.CACHED)
        except Exception as error:
            # A malformed old list must not keep the process from ever requesting a new one.
            log.warning("ignoring the last known endpoint list: %r", error)
            return
        self.version = event.version
        self.on_update(event, addresses)

    def subscribe(self, active: bool) -> None:
        """Start to watch for changes, or stop.

        A watch that is open stays, as its request may be queued at discovery: if it were replaced by a new
        one each time, none might ever be answered. It times out by itself.
        """
        self.subscribed = active
        if not active:
            self.stop()
        elif self.watch is None:
            self.watch = Watch(self)
            self.note_activity()
            self.timer = self.loop.call_later(IDLE_TIMEOUT_S, self.check_timeout)
            self.connect_task = self.loop.create_task(self.connect(self.watch))

    def hold_open(self) -> None:
        """Keep a watch open for good.

        Used where lists are pushed to an agent on this machine and the load balancer requests none itself.
        """
        self.held_open = True
        self.subscribe(True)

    def reopen(self) -> None:
        """Open a watch if none is open and changes are still wanted."""
        if self.watch is None and self.subscribed:
            self.subscribe(True)

    def close(self) -> None:
        """End the watch for good."""
        self.held_open = False
        self.subscribe(False)

    def change_address(self, address: Address) -> None:
        """Follow a new address of discovery, and open a watch there at once."""
        if address == self.address:
            return
        self.address = address
        self.version = 0  # versions are valid at one address only, so the full list is requested
        self.stop()
        if self.subscribed:
            self.subscribe(True)

    def stop(self) -> None:
        """End the watch, its connect and its timer, without reporting a failure."""
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: Watch) -> None:
        """Connect a watch; an error ends it as failed."""
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except OSError:
            self.watch_ended(watch)

    def note_activity(self) -> None:
        """Restart the idle time-out."""
        self.last_activity_s = time.monotonic()

    def check_timeout(self) -> None:
        """End the watch if it has timed out.

        The connection to a machine that is cut off would stay open for ever.
        """
        watch = self.watch
        if watch is None:
            return
        timeout_s = IDLE_TIMEOUT_S if watch.answered else ANSWER_TIMEOUT_S
        left_s = self.last_activity_s + timeout_s - time.monotonic()
        if left_s > 0:
            self.timer = self.loop.call_later(left_s, self.check_timeout)
        else:
            log.warning(
                "discovery watch timed out" if watch.answered else "discovery did not respond in time"
            )
            watch.stalled = watch.answered
            watch.fail()

    def line_received(self, watch: Watch, line: bytes) -> None:
        """Apply a list or a change: a short one now, raising if it is malformed, a long one on a thread.

        A short one that comes while a long one is being applied has its turn behind it. Endpoints that it
        drains or removes get no new requests from now on, whatever comes before its turn.
        """
        is_short = len(line) <= MAX_INLINE_LINE_BYTES
        if self.reader_task is None and is_short:
            try:
                self.apply_update(watch, *self.directory.read_line(line, self.known_version_for(watch)))
            except OlderChangeError:
                self.reset_after_rollback(watch)
                raise
            return
        removals = self.directory.read_removals(line, self.known_version_for(watch)) if is_short else ()
        self.unread.append(UnreadLine(watch, line, removals))
        if removals:
            endpoints, addresses = self.directory.draining(removals)
            self.on_update(EndpointsUpdated(ListKind.DELTA, endpoints, self.version), addresses)
        if watch.transport is not None and self.unread.is_full:
            watch.transport.pause_reading()
        if not self.frozen:
            self.frozen = True
            gc.freeze()
            self.loop.call_later(FREEZE_DELAY_S, gc.freeze)
        if self.reader_task is None:
            self.reader_task = self.loop.create_task(self.read_unread())

    async def read_unread(self) -> None:
        """Apply the unread lines in order; those of a watch that has ended count too."""
        while (unread := self.unread.first()) is not None:
            watch = unread.watch
            try:
                read = await self._read_unread_line(unread)
                self.unread.discard(unread)  # not before: meanwhile, its removals hold
                self.apply_update(watch, *read)
            except Exception as error:
                log.warning("malformed data from discovery, ending the watch: %r", error)
                self.unread.discard(unread)
                if isinstance(error, OlderChangeError):
                    self.reset_after_rollback(watch)
                watch.fail()
            self.note_activity()  # while reading was paused no data could come
            if watch.transport is not None and self.unread.is_half_empty:
                watch.transport.resume_reading()
        self.reader_task = None

    async def _read_unread_line(
        self, unread: UnreadLine[Watch]
    ) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """Read a line: a long one on a thread, a short one here, one in a turn of the event loop."""
        known_version = self.known_version_for(unread.watch)
        if len(unread.line) > MAX_INLINE_LINE_BYTES:
            return await asyncio.to_thread(self.directory.read_line, unread.line, known_version)
        await asyncio.sleep(0)
        return self.directory.read_line(unread.line, known_version)

    def known_version_for(self, watch: Watch) -> int:
        """Return the version that a watch's changes have to follow; 0 for a watch of a former address."""
        return self.version if watch.address == self.address else 0

    def reset_after_rollback(self, watch: Watch) -> None:
        """Drop what a watch sent after a change that is older than the known version.

        Further changes on it belong to the same older history, so the full list is requested next.
        """
        if watch.address == self.address:
            self.version = 0
        self.unread.drop(watch)

    def apply_update(self, watch: Watch, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        """Report an event, and remember its version if the watch is of the current address.

        Endpoints that an unread line drains or removes stay drained.
        """
        if watch.address == self.address:  # versions are valid at one address only
            self.version = event.version
        if self.unread.has_removals:
            event = replace(event, endpoints=[self._drained_if_unread(entry) for entry in event.endpoints])
        self.on_update(event, addresses)

    def _drained_if_unread(self, entry: Endpoint) -> Endpoint:
        name = self.directory.endpoints.name_of(entry.id)
        if entry.state is not EndpointStatus.READY or name is None or not self.unread.removes(name):
            return entry
        return replace(entry, state=EndpointStatus.DRAINING)

    def watch_ended(self, watch: Watch) -> None:
        """Report that the current watch has failed; if it is held open, reopen it after REOPEN_DELAY_S."""
        if watch is self.watch:
            self.stop()
            self.on_update(EndpointsUpdated(ListKind.FAILED, watch_stalled=watch.stalled), {})
            if self.held_open:
                self.loop.call_later(REOPEN_DELAY_S, self.reopen)
