"""Holds back sends after the process was paused, until the endpoint lists have been read again."""

from __future__ import annotations

import socket
import struct

from plovertrail.clock import clock_us
from plovertrail.decisions.actions import Send
from plovertrail.decisions.events import EndpointsUpdated
from plovertrail.dispatch.server_pool import ServerPool

RESUMED_RECENTLY_US = 1_000_000  # how long after a pause data that arrived during it may still be read
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv of Linux's struct tcp_info, in ms


class Suspension:
    """Holds sends and endpoint updates while suspended.

    Their number is bounded by that of the open requests, each of which has only a few events.
    """

    def __init__(self) -> None:
        self.active = False
        self.endpoint_updates: list[tuple[ServerPool, EndpointsUpdated]] = []
        self.sends: list[tuple[ServerPool, Send]] = []
        self.paused_us = 0  # length of the last pause
        self.resumed_at_us = 0

    def begin(self, paused_us: int) -> None:
        """Begin to hold back. If already suspended, the longer of the two pauses counts."""
        self.paused_us = max(paused_us, self.paused_us if self.active else 0)
        self.resumed_at_us = clock_us()
        self.active = True

    def end(self) -> tuple[list[tuple[ServerPool, EndpointsUpdated]], list[tuple[ServerPool, Send]]]:
        """Stop holding back, and return the endpoint updates and the sends that were held."""
        self.active = False
        updates, self.endpoint_updates = self.endpoint_updates, []
        sends, self.sends = self.sends, []
        return updates, sends

    def unread_us(self, sock: socket.socket) -> int:
        """For how long data from a client may have been unread because the process was paused.

        A request's deadline counts from when it was sent. Counted from when it was read, the request would be
        forwarded after its deadline.
        """
        since_us = clock_us() - self.resumed_at_us
        if not self.paused_us or since_us > RESUMED_RECENTLY_US:
            return 0
        longest_us = self.paused_us + since_us
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
            return min(longest_us, 1000 * int(LAST_DATA_RECEIVED.unpack(info)[0]))
        except (OSError, struct.error):
            return longest_us  # not reported by the kernel; assume that it arrived when the pause began
