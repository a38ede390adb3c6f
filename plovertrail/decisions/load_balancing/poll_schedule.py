"""Schedules polls of discovery for the endpoint list, so that changes take effect in time.

Even if polls fail, a change takes effect within six seconds after discovery had it and was reachable, and a
draining endpoint gets no requests after its grace period. This limit may conflict with the rate of polls that
discovery can serve when a whole fleet polls at once. If the settings state that rate, it takes precedence,
and the polls of a large fleet are spread over a longer time. If not, as on the platform, the limit of six
seconds takes precedence, and the polls are spread over the time that it leaves.
"""

from __future__ import annotations

import random

from plovertrail.decisions.fleet_limits import poll_spread_us
from plovertrail.decisions.load_balancing.timers import TimerKind, TimerQueue
from plovertrail.decisions.settings import Settings

NOTIFICATION_LIMIT_US = 6_000_000  # by the contract, a change counts as known after this time
RESPONSE_LIMIT_US = 3_000_000  # discovery queues a poll for at most this long before it rejects it
POLL_TIMEOUT_US = RESPONSE_LIMIT_US + 100_000  # a poll without a response by then is taken to be lost
WATCH_TIMEOUT_US = 3_000_000  # a watch sends an empty line every 2 s; without one for this long it is broken
INITIAL_BACKOFF_US = 250_000  # long compared to a poll, short compared to a drain
MIN_SPREAD_US = 150_000  # polls are spread over at least this time, even if the limits leave none
DEFAULT_DISCOVERY_RATE_PER_S = 20.0  # peak rate of polls if the settings state none
POLL_INTERVAL_SHARE = 0.9  # of the maximum poll interval; the limit after a failed poll
MAX_DOUBLINGS = 20  # of the backoff


def max_poll_gap_us(settings: Settings) -> int:
    """Return the maximum time from one poll, or the last line of a watch, to the start of the next poll.

    A change just missed by one poll is then reported by the next one before the grace period of a drain ends.
    """
    interval_us = int(POLL_INTERVAL_SHARE * settings.max_poll_interval_us)
    if settings.discovery_rate_per_s:
        return interval_us
    return min(interval_us, NOTIFICATION_LIMIT_US + settings.drain_grace_us - RESPONSE_LIMIT_US)


def max_backoff_us(settings: Settings, since_us: int, now_us: int) -> int:
    """Return the maximum delay of the next poll; the last poll began, or the watch last sent, at `since_us`.

    It is never below `MIN_SPREAD_US`: polls that failed together must not all be repeated at the limit.
    """
    return max(MIN_SPREAD_US, since_us + max_poll_gap_us(settings) - now_us)


def max_notification_delay_us(settings: Settings) -> int:
    """Return the maximum time until a change is known, once discovery has it and is reachable.

    It is the sum of a poll lost at that moment, the delay of the next poll, and its time in the queue.
    """
    return max(max_poll_gap_us(settings), POLL_TIMEOUT_US + MIN_SPREAD_US) + RESPONSE_LIMIT_US


class PollSchedule:
    """Schedules polls while there is no watch, with exponential backoff and full jitter."""

    __slots__ = ("next_poll_us", "_settings", "_timers", "_random", "_failures", "_last_poll_us")

    def __init__(self, settings: Settings, timers: TimerQueue, rng: random.Random, now_us: int) -> None:
        self.next_poll_us = 0  # 0 = none is scheduled, since the list is watched
        self._settings = settings
        self._timers = timers
        self._random = rng
        self._failures = 0  # consecutive failures
        self._last_poll_us = now_us
        first_us = min(settings.max_poll_interval_us // 2, max_poll_gap_us(settings))
        self._schedule(now_us + self._backoff_us(first_us), now_us)

    def record_failure(self, watch_stalled: bool, now_us: int) -> None:
        """Schedule the next poll after a failed poll, or after a watch that broke or stalled."""
        self._failures += 1
        since_us = now_us
        if watch_stalled:
            since_us -= WATCH_TIMEOUT_US
        elif self.next_poll_us != 0:  # there was no watch, so a poll has failed
            since_us = self._last_poll_us
        longest_us = max_backoff_us(self._settings, since_us, now_us)
        self._schedule(now_us + self._backoff_us(longest_us), now_us)

    def record_list_received(self) -> None:
        """Stop polling, since the list was received and is watched."""
        self._failures = 0
        self.next_poll_us = 0

    def begin_due_poll(self, now_us: int) -> bool:
        """Return whether to poll now; if so, schedule the next poll in case this one is lost."""
        if self.next_poll_us == 0 or now_us < self.next_poll_us:
            return False
        self._last_poll_us = now_us
        interval_us = max(POLL_TIMEOUT_US, self._settings.max_poll_interval_us // 2)
        self._schedule(now_us + interval_us, now_us)
        return True

    def _backoff_us(self, longest_us: int) -> int:
        """Return a random delay, which spreads polls that all instances would otherwise start at once.

        Its range doubles with each failure: at a rate above what discovery serves, all polls fail and still
        cost it work.
        """
        settings = self._settings
        rate_per_s = settings.discovery_rate_per_s or DEFAULT_DISCOVERY_RATE_PER_S
        span_us = poll_spread_us(settings.instances, rate_per_s)
        if self._failures:
            span_us = max(INITIAL_BACKOFF_US, span_us) * 2 ** min(self._failures - 1, MAX_DOUBLINGS)
        return int(min(span_us, longest_us) * self._random.random())

    def _schedule(self, at_us: int, now_us: int) -> None:
        if self._settings.endpoints_on_request:
            self.next_poll_us = at_us
            self._timers.schedule(at_us, TimerKind.POLL, 0, now_us)
