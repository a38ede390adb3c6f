"""The responses that come for one request, until it can be told which of them is the one to it."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.decisions.response_attribution import ResponseAttribution, ResponseTiming
from plovertrail.upstreams.response_reader import ResponseReader


class Decision(enum.Enum):
    """What follows from a complete response."""

    ACCEPT = "accept"
    DEFER = "defer"  # another one may follow
    AMBIGUOUS = "ambiguous"  # which message is the response can't be told


@dataclass(frozen=True, slots=True)
class TimedResponse:
    """A complete response, and when it came."""

    reader: ResponseReader
    timing: ResponseTiming


class DeferredResponse:
    """Holds back the response to one request at a time; calls `on_expiry` when no other has followed."""

    def __init__(self, attribution: ResponseAttribution, on_expiry: Callable[[], None]) -> None:
        self.attribution = attribution
        self.on_expiry = on_expiry
        self.deferred: TimedResponse | None = None
        self.first: TimedResponse | None = None  # it was deferred until another one followed
        self._timer: asyncio.TimerHandle | None = None

    def reset(self) -> None:
        """Forget the responses to the request before."""
        self.release()
        self.first = None

    def release(self) -> None:
        """End the wait for another response."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.deferred is not None:
            self.deferred.reader.release()
            self.deferred = None

    def another_follows(self) -> None:
        """Record that another message follows the deferred response."""
        deferred = self.deferred
        self.release()
        self.first = deferred

    def evaluate(self, response: TimedResponse, stream_ended: bool) -> Decision:
        """Evaluate a complete response, and defer it if another one may follow."""
        if self.first is not None:
            return self._evaluate_pair(self.first, response)
        now_us = clock_us()
        timing = response.timing
        deferral_us = self.attribution.deferral_us(timing, now_us)
        if deferral_us <= 0 and timing.claims_not_run:
            return self._evaluate_last(response, stream_ended)
        if deferral_us <= 0:
            self.attribution.record_accepted(timing, deferred=False)
            return Decision.ACCEPT
        if stream_ended:
            return self._evaluate_last(response, stream_ended)
        if response.reader.behind:
            return Decision.AMBIGUOUS
        self.deferred = response
        self._timer = asyncio.get_running_loop().call_later(deferral_us / 1e6, self.on_expiry)
        return Decision.DEFER

    def evaluate_deferred(self, deferred: TimedResponse, stream_ended: bool) -> Decision:
        """Evaluate the deferred response, as the wait is over or the stream has ended."""
        self.release()
        if deferred.timing.single_use:
            self.attribution.record_single_use(closed=stream_ended)
        return self._evaluate_last(deferred, stream_ended)

    def _evaluate_last(self, response: TimedResponse, stream_ended: bool) -> Decision:
        if not self.attribution.accepts_after_deferral(response.timing, stream_ended, clock_us()):
            self.attribution.record_unfollowed(response.timing)
            return Decision.AMBIGUOUS
        self.attribution.record_accepted(response.timing, deferred=True)
        return Decision.ACCEPT

    def _evaluate_pair(self, first: TimedResponse, second: TimedResponse) -> Decision:
        """Evaluate the second of two messages that came for one request."""
        same = first.reader.says_the_same(second.reader)
        accepted = self.attribution.accepts_replacement(first.timing, second.timing, same)
        self.attribution.record_pair(first.timing, second.timing, same, clock_us())
        if not accepted:
            return Decision.AMBIGUOUS
        self.attribution.record_accepted(second.timing, deferred=False)
        return Decision.ACCEPT
