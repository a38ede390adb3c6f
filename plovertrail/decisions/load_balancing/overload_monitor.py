"""Logs when a large share of the requests finds no free slot, and when this ends."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.pending_actions import PendingActions

ARRIVAL_WINDOW = 200  # arrivals over which the share is averaged
BEGIN_SHARE = 0.2  # above this, the begin of an overload is logged
END_SHARE = 0.02  # at or below this, its end is logged


class OverloadMonitor:
    """Tracks the share of recent requests that found no free slot."""

    __slots__ = ("_unsent_share", "_logged_as_overloaded")

    def __init__(self) -> None:
        self._unsent_share = 0.0
        self._logged_as_overloaded = False

    def record_arrival(self, was_sent: bool, actions: PendingActions, now_us: int) -> None:
        """Record an arrival, and log the begin or end of an overload."""
        self._unsent_share += (float(not was_sent) - self._unsent_share) / ARRIVAL_WINDOW
        limit = END_SHARE if self._logged_as_overloaded else BEGIN_SHARE
        is_overloaded = self._unsent_share > limit
        if is_overloaded == self._logged_as_overloaded:
            return
        if actions.log("overload begins" if is_overloaded else "overload ends", now_us):
            self._logged_as_overloaded = is_overloaded
