"""Reservations of retry times for rejected clients.

Times are whole microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

from collections import deque

MAX_RESERVATIONS = 4_096
# A retry that is early or late by no more than this can claim its reservation.
EARLY_TOLERANCE_US = 500_000
LATE_TOLERANCE_US = 2_000_000


class RetryReservations:
    """Retry times given to rejected clients, at most MAX_RESERVATIONS of them."""

    def __init__(self) -> None:
        self.by_client: dict[int, tuple[int, ...]] = {}  # times by client hash
        self.in_order: deque[tuple[int, int]] = deque()  # (time, client hash), in the order of reservation

    @property
    def full(self) -> bool:
        """Whether no further reservation can be stored."""
        return len(self.in_order) >= MAX_RESERVATIONS

    def add(self, client: int, at_us: int) -> None:
        """Reserve a retry time for a client."""
        self.by_client[client] = (*self.by_client.get(client, ()), at_us)
        self.in_order.append((at_us, client))

    def claim(self, client: int, now_us: int) -> bool:
        """Claim a client's reservation for this time, once; return whether it has one."""
        while self.in_order and self.in_order[0][0] + LATE_TOLERANCE_US < now_us:
            self._expire_first()
        times = self.by_client.get(client)
        if times is None or now_us < times[0] - EARLY_TOLERANCE_US:
            return False
        self._remove_first_of(client)
        return True

    def _expire_first(self) -> None:
        at_us, client = self.in_order.popleft()
        times = self.by_client.get(client)
        if times is not None and times[0] == at_us:  # it is unclaimed
            self._remove_first_of(client)

    def _remove_first_of(self, client: int) -> None:
        remaining = self.by_client[client][1:]
        if remaining:
            self.by_client[client] = remaining
        else:
            del self.by_client[client]
