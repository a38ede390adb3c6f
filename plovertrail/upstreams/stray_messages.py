"""Messages that no request asked for: recorded for later decisions, counted and logged."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.response_attribution import ResponseAttribution
from plovertrail.problem_log import ProblemLog
from plovertrail.upstreams.response_reader import ResponseReader, ResponseRules

MAX_LOGGED_BYTES = 40


@dataclass(slots=True)
class ConnectionHistory:
    """What a connection has carried so far."""

    endpoint_id: int
    number: int
    connected_us: int = 0
    requests_sent: int = 0
    idle_since_us: int = 0  # 0: it was never idle
    last_body_hash: int = 0  # of the last response


class StrayMessages:
    """Records the messages of a pool's endpoints that no request asked for."""

    def __init__(self, attribution: ResponseAttribution, rules: ResponseRules, problems: ProblemLog) -> None:
        self.attribution = attribution
        self.rules = rules
        self.problems = problems

    def on_idle(self, history: ConnectionHistory, data: bytes, request: str) -> None:
        """Record bytes that came while no request was in flight; `request` waits for the connection."""
        now_us = clock_us()
        since_us = history.idle_since_us or history.connected_us
        if history.requests_sent:
            self.attribution.record_late_stray(now_us - since_us, now_us)
        if not history.requests_sent or self._contradicts_last_response(history, data):
            self.attribution.record_unprompted_stray(now_us - history.connected_us, now_us)
        self.report(history, now_us - since_us, data, request)

    def behind_response(self, history: ConnectionHistory, after_us: int, data: bytes, request: str) -> None:
        """Record bytes that came with a response, or `after_us` later, and do not belong to it."""
        self.attribution.record_late_stray(after_us, clock_us())
        self.report(history, after_us, data, request)

    def remainder_of_body(self, history: ConnectionHistory, reader: ResponseReader, request: str) -> None:
        """Count and log a response whose body goes on behind the length that it gives."""
        self.problems.report(
            "response_longer_than_told",
            lambda: (
                f"endpoint={history.endpoint_id} connection={history.number} request={request}"
                f" status={reader.status} body={len(reader.body)} chunked={reader.chunked}"
                f" behind={len(reader.behind)} first_line={_first_line(reader.behind)}"
            ),
        )

    def before_request_was_sent(self, history: ConnectionHistory, after_us: int, request: str) -> None:
        """Record a response that came while part of its request was still to be sent."""
        self.attribution.record_unprompted_stray(after_us, clock_us())
        self.report(history, after_us, b"", request)

    def report(self, history: ConnectionHistory, after_us: int, data: bytes, request: str) -> None:
        """Count and log a message; `after_us` counts from the response or the request before it."""
        self.problems.report(
            "unexpected_bytes",
            lambda: (
                f"endpoint={history.endpoint_id} connection={history.number}"
                f" requests_sent={history.requests_sent} request={request} after_ms={after_us / 1e3:.1f}"
                f" bytes={len(data)} first_line={_first_line(data)}"
            ),
        )

    def _contradicts_last_response(self, history: ConnectionHistory, data: bytes) -> bool:
        """Whether bytes are another good response than the one that was accepted last.

        Then that may have been a stray, and this is the response that it was taken for.
        """
        reader = ResponseReader(self.rules, head_only=False, awaits_upgrade=False)
        with contextlib.suppress(Exception):  # whatever the parser finds wrong with it
            reader.feed(data)
        reader.release()
        is_good = reader.complete and self.rules.outcome(reader.status, False) is Outcome.OK
        return is_good and hash(bytes(reader.body)) != history.last_body_hash


def _first_line(data: bytes) -> str:
    """Return the beginning of the first line of received bytes, quoted for the log."""
    return repr(data.split(b"\r\n", 1)[0][:MAX_LOGGED_BYTES])
