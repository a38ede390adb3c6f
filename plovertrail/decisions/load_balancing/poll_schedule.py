"""When discovery is polled for the endpoint list, so that changes take effect in time.

Whatever polls fail, a change takes effect within six seconds after discovery had it and was reachable, and a
draining endpoint gets no request after its grace period. That bound may conflict with the rate that discovery
can serve when a whole fleet polls at one moment. If the settings state such a rate, it is kept, and the polls
of a large fleet are spread over a longer time. If they state none, as on the platform, the six seconds are
kept, and the polls are spread over the time that they leave.
"""

from __future__ import annotations

import random

from plovertrail.decisions.fleet_limits import poll_spread_us
from plovertrail.decisions.load_balancing.timers import TimerKind, TimerQueue
from plovertrail.decisions.settings import Settings

NOTIFICATION_LIMIT_US = 6_000_000  # the contract: a change counts as known after this time at the latest
RESPONSE_LIMIT_US = 3_000_000  # discovery queues a poll for so long before it rejects it
POLL_TIMEOUT_US = RESPONSE_LIMIT_US + 100_000  # a poll without a response by then gets none
WATCH_TIMEOUT_US = 3_000_000  # a watch sends an empty line every 2 s; silent for this long, it is broken
INITIAL_BACKOFF_US = 250_000  # long beside one poll, short beside a drain
MIN_SPREAD_US = 150_000  # polls are spread over this even where the bounds leave nothing
DEFAULT_DISCOVERY_RATE_PER_S = 20.0  # polls in the worst second, where the settings state no rate
POLL_INTERVAL_SHARE = 0.9  # of the longest poll interval, after a poll that failed
MAX_DOUBLINGS = 20


def max_poll_gap_us(settings: Settings) -> int:
    """Return the longest time from one poll, or the last line of a watch, to the begin of the next poll.

    A change that one poll just missed is then reported by the next one, in time for its drain.
    """
    interval_us = int(POLL_INTERVAL_SHARE * settings.max_poll_interval_us)
    if settings.discovery_rate_per_s:
        return interval_us
    return min(interval_us, NOTIFICATION_LIMIT_US + settings.drain_grace_us - RESPONSE_LIMIT_US)


def max_backoff_us(settings: Settings, since_us: int, now_us: int) -> int:
    """Return how long the next poll may wait; the last one began, or the watch was last heard, at `since_us`.

    Some time is always left to spread over: polls that failed together must not all come again at the bound.
    """
    return max(MIN_SPREAD_US, since_us + max_poll_gap_us(settings) - now_us)


def max_notification_delay_us(settings: Settings) -> int:
    """Return the longest time until a change is known that discovery has and can be reached for.

    It adds up a poll that was lost at that moment, the delay of the next one, and its time in the queue.
    """
    return max(max_poll_gap_us(settings), POLL_TIMEOUT_US + MIN_SPREAD_US) + RESPONSE_LIMIT_US


class PollSchedule:
    """Schedules polls while there is no watch, with exponential backoff and full jitter."""

    __slots__ = ("next_poll_us", "_settings", "_timers", "_random", "_failures", "_last_poll_us")

    def __init__(self, settings: Settings, timers: TimerQueue, rng: random.Random, now_us: int) -> None:
        self.next_poll_us = 0  # 0 = not scheduled, as the list is watched
        self._settings = settings
        self._timers = timers
        self._random = rng
        self._failures = 0  # in a row
        self._last_poll_us = now_us
        first_us = min(settings.max_poll_interval_us // 2, max_poll_gap_us(settings))
        self._schedule(now_us + self._backoff_us(first_us), now_us)

    def record_failure(self, watch_stalled: bool, now_us: int) -> None:
        """Schedule the next poll after one that failed, or after a watch that broke or fell silent."""
        self._failures += 1
        since_us = now_us
        if watch_stalled:
            since_us -= WATCH_TIMEOUT_US
        elif self.next_poll_us != 0:  # there was no watch, so it was a poll that failed
            since_us = self._last_poll_us
        longest_us = max_backoff_us(self._settings, since_us, now_us)
        self._schedule(now_us + self._backoff_us(longest_us), now_us)

    def record_list_received(self) -> None:
        """Stop polling, as the list was received and is watched."""
        self._failures = 0
        self.next_poll_us = 0

    def begin_due_poll(self, now_us: int) -> bool:
        """Whether to poll now; if so, the next poll is scheduled in case that this one is lost."""
        if self.next_poll_us == 0 or now_us < self.next_poll_us:
            return False
        self._last_poll_us = now_us
        interval_us = max(POLL_TIMEOUT_US, self._settings.max_poll_interval_us // 2)
        self._schedule(now_us + interval_us, now_us)
        return True

    def _backoff_us(self, longest_us: int) -> int:
        """Return a random delay that spreads the polls of all instances that begin at one moment.

        The span doubles with each failure: polls at a higher rate than discovery serves all fail, and still
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
