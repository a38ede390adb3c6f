"""Schedules the checks of WebSocket sessions, and their closing after a drain.

Times are whole microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping

from plovertrail.decisions.websocket_messages import CloseCause, SessionLimits
from plovertrail.decisions.websocket_session import Phase, WebSocketSession

BATCH_INTERVAL_US = 1_000  # between two timers, so that batches of checks leave time for other work
MIN_RECONNECT_US = 1_000_000


class CheckSchedule:
    """The next check of each session, and the one timer for all of them."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int]] = []  # (time, session id)
        self.timer_us = 0  # the timer that is set; 0 = none

    def add(self, session: WebSocketSession, at_us: int) -> None:
        """Schedule the check of a session, unless an earlier one is scheduled."""
        if not session.next_check_us or at_us < session.next_check_us:
            session.next_check_us = at_us
            heapq.heappush(self.heap, (at_us, session.session_id))

    def pop_due(self, sessions: Mapping[int, WebSocketSession], now_us: int) -> WebSocketSession | None:
        """Return the next session whose check is due; None if there is none."""
        while self.heap and self.heap[0][0] <= now_us:
            at_us, session_id = heapq.heappop(self.heap)
            session = sessions.get(session_id)
            if session is not None and session.next_check_us == at_us:
                session.next_check_us = 0
                return session
        return None

    def timer_to_set_us(self, now_us: int) -> int | None:
        """Return the time of a timer that has to be set now; None if the current one is early enough."""
        if not self.heap or (self.timer_us and self.heap[0][0] >= self.timer_us):
            return None
        self.timer_us = max(self.heap[0][0], now_us + BATCH_INTERVAL_US)
        return self.timer_us


class ClosePlanner:
    """Plans when sessions are closed by this process."""

    def __init__(self, seed: int, checks: CheckSchedule) -> None:
        self.random = random.Random(seed)
        self.checks = checks

    def close_at(self, session: WebSocketSession, at_us: int, cause: CloseCause) -> None:
        """Plan to close a session at a time, in place of an earlier plan."""
        session.close_at_us = at_us
        session.close_at_cause = cause
        self.checks.add(session, at_us)

    def close_no_later_than(self, session: WebSocketSession, at_us: int, cause: CloseCause) -> None:
        """Plan to close a session at a time, unless it is planned to be closed earlier."""
        if not session.close_at_us or at_us < session.close_at_us:
            self.close_at(session, at_us, cause)

    def drain(self, session: WebSocketSession, cause: CloseCause, now_us: int) -> None:
        """Let a session end by itself, or close it at a random time after the grace period."""
        if session.phase is not Phase.OPEN:
            session.close_at_cause = cause  # it is drained once it has opened
            return
        limits = session.limits
        at_us = now_us + limits.drain_grace_us + int(limits.close_spread_us * self.random.random())
        self.close_no_later_than(session, at_us, cause)

    def cancel_drain(self, session: WebSocketSession) -> None:
        """Close the session only at the end of its lifetime again, if that is limited."""
        session.close_at_us = 0
        session.close_at_cause = None
        self.close_at_lifetime(session)

    def close_at_lifetime(self, session: WebSocketSession) -> None:
        """Plan to close an open session at the end of its lifetime, if that is limited."""
        if session.limits.lifetime_us:
            ends_us = session.opened_us + session.limits.lifetime_us
            self.close_at(session, ends_us, CloseCause.MAX_LIFETIME)

    def reconnect_after_us(self, limits: SessionLimits) -> int:
        """Return a random delay before a client reconnects, so that clients do not all return at once."""
        return MIN_RECONNECT_US + int(limits.close_spread_us * self.random.random())
