"""What a process that was paused holds back until its endpoint lists have been read again."""

from __future__ import annotations

import socket
import struct

from plovertrail.clock import clock_us
from plovertrail.decisions.actions import Send
from plovertrail.decisions.events import EndpointsUpdated
from plovertrail.dispatch.server_pool import ServerPool

RESUMED_RECENTLY_US = 1_000_000  # for so long after a pause, data may be read that arrived during it
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv of Linux's struct tcp_info, in ms


class Suspension:
    """Sends and endpoint updates held back while suspended.

    Their number is bounded by the open requests, each of which has a few events at most.
    """

    def __init__(self) -> None:
        self.active = False
        self.endpoint_updates: list[tuple[ServerPool, EndpointsUpdated]] = []
        self.sends: list[tuple[ServerPool, Send]] = []
        self.paused_us = 0  # for how long the process was paused last
        self.resumed_at_us = 0

    def begin(self, paused_us: int) -> None:
        """Hold back from now on; a further pause counts with the one before if that is not over."""
        self.paused_us = max(paused_us, self.paused_us if self.active else 0)
        self.resumed_at_us = clock_us()
        self.active = True

    def end(self) -> tuple[list[tuple[ServerPool, EndpointsUpdated]], list[tuple[ServerPool, Send]]]:
        """Hold back nothing more; returns the endpoint updates and the sends that have waited."""
        self.active = False
        updates, self.endpoint_updates = self.endpoint_updates, []
        sends, self.sends = self.sends, []
        return updates, sends

    def unread_us(self, sock: socket.socket) -> int:
        """For how long what a client sent may have lain unread while the process was paused.

        A request's deadline counts from when it was sent: counted from when it was read, it would be
        forwarded too late.
        """
        since_us = clock_us() - self.resumed_at_us
        if not self.paused_us or since_us > RESUMED_RECENTLY_US:
            return 0
        longest_us = self.paused_us + since_us
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
            return min(longest_us, 1000 * int(LAST_DATA_RECEIVED.unpack(info)[0]))
        except (OSError, struct.error):
            return longest_us  # the kernel doesn't tell: as if it had come first
