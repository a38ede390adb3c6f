"""The wait for more of a response: its body looks cut off, or what stands behind it is part of a copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plovertrail.clock import clock_us
from plovertrail.decisions.response_attribution import ResponseAttribution
from plovertrail.decisions.response_excess import looks_cut_off, remainder_wait_us
from plovertrail.problem_log import ProblemLog
from plovertrail.upstreams.deferred_response import TimedResponse
from plovertrail.upstreams.response_copies import BytesBehind, classify_bytes_behind

ResponseCallback = Callable[[TimedResponse, bool], None]  # the response, and whether the stream has ended


class RemainderWait:
    """Delays one response at a time; calls `on_end` when more bytes arrive, the stream ends or time is up."""

    __slots__ = ("_attribution", "_problems", "_on_end", "_response", "_timer")

    def __init__(
        self, attribution: ResponseAttribution, problems: ProblemLog, on_end: ResponseCallback
    ) -> None:
        self._attribution = attribution
        self._problems = problems
        self._on_end = on_end
        self._response: TimedResponse | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, response: TimedResponse) -> bool:
        """Hold a response back if more of it may follow; returns whether it is held back."""
        if not self._may_have_more(response):
            return False
        wait_us = remainder_wait_us(response.timing.elapsed_us, response.timing.timeout_us)
        self._response = response
        self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self.end)
        return True

    def end(self, data: bytes = b"", stream_ended: bool = False) -> bool:
        """End the wait, with the bytes that have followed; returns whether a response was held back.

        It goes on while these bytes are part of a copy.
        """
        response = self._response
        if response is None:
            return False
        response.reader.behind += data
        if data and self._is_behind_part_of_copy(response):
            return True
        self.release()
        self._on_end(response, stream_ended)
        return True

    def release(self) -> None:
        """End the wait; the response is dropped."""
        self._response = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _may_have_more(self, response: TimedResponse) -> bool:
        """Whether a response would be given to the client, and more of it may follow."""
        reader = response.reader
        if reader.bodyless:
            return False
        if reader.behind:
            return self._is_behind_part_of_copy(response)
        if not response.timing.served or self._is_deferred(response):
            return False
        if not looks_cut_off(reader.body, is_json=not reader.body and reader.is_json):
            return False
        self._problems.count("responses_looking_cut_off")
        return True

    @staticmethod
    def _is_behind_part_of_copy(response: TimedResponse) -> bool:
        reader = response.reader
        is_too_long = len(reader.behind) > reader.received
        return not is_too_long and classify_bytes_behind(reader) is BytesBehind.PART_OF_COPY

    def _is_deferred(self, response: TimedResponse) -> bool:
        """Whether a response is deferred anyway, so that a remainder is found as a second message."""
        return self._attribution.deferral_us(response.timing, clock_us()) > 0
