"""When discovery is called, so that what it has to tell is in force in time. The bounds of a call's parts,
and their sums: whatever calls fail, a change is in force six seconds after discovery had it and could be
reached, and what drains gets nothing new after its grace.

Two bounds may contradict each other: that one, and what discovery bears from a whole fleet that calls anew at
one moment. Where the settings state a rate that it bears, the rate holds, and a large fleet takes its turns
for longer; where they state none, as on the platform, the six seconds hold, and the fleet's calls are spread
over what these leave.
"""

from __future__ import annotations

from plovertrail.decisions.settings import Settings

TOLD_US = 6_000_000  # the protocol page: what discovery has to tell counts as told 6 s later at the latest
ANSWER_US = 3_000_000  # a call waits for its turn at discovery for so long; then discovery gives it up itself
UNANSWERED_US = ANSWER_US + 100_000  # a call that has had no answer by then gets none: it is given up
SILENT_US = 3_000_000  # an empty line comes every 2 s; a subscription with none for so long is broken
RETRY_US = 250_000  # backoff starts here: long beside one call, short beside a drain
LEAST_SPAN_US = 150_000  # that is left to spread calls over, where the bounds leave none
BORNE_PER_S = 20.0  # calls in the worst second that discovery is reckoned to bear, where nothing tells
LONGEST_WAIT = 0.9  # of ask-within, after a call that waited in vain


def longest_gap_us(settings: Settings) -> int:
    """From the begin of one call, or from the last word of a subscription, to the begin of the next call. A
    change that discovery has just missed to tell is then told with that one, in time for its drain."""
    asked_us = int(LONGEST_WAIT * settings.max_poll_interval_us)
    if settings.discovery_rate_per_s:
        return asked_us
    return min(asked_us, TOLD_US + settings.drain_grace_us - ANSWER_US)


def retry_within_us(settings: Settings, since_us: int, now_us: int) -> int:
    """For how long, from now on, the next call may wait; the last one began, or the subscription was last
    heard, at `since_us`. Hazard: calls that have failed together must not all come again at the bound, so a
    span to be spread over is always left."""
    return max(LEAST_SPAN_US, since_us + longest_gap_us(settings) - now_us)


def told_after_us(settings: Settings) -> int:
    """The longest that a change can take which discovery has, and can be reached for, until it is known here:
    a call that was lost at that very moment, the wait for the next one, and its own turn."""
    return max(longest_gap_us(settings), UNANSWERED_US + LEAST_SPAN_US) + ANSWER_US
