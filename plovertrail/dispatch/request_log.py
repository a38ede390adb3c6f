"""Logs requests that did not go well, each in one line with all of its attempts."""

from __future__ import annotations

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.dispatch.live_request import LiveAttempt, LiveRequest
from plovertrail.dispatch.types import ProxyResponse, ResponseKind
from plovertrail.problem_log import ProblemLog

KINDS = {
    ResponseKind.SERVED: "request_served_after_retry",
    ResponseKind.REJECTED: "request_rejected",
    ResponseKind.FAILED: "request_failed",
}


class RequestLog:
    """Reports final responses and disconnects of clients to a problem log."""

    def __init__(self, problems: ProblemLog) -> None:
        self.problems = problems

    def attempt_ended(self, outcome: Outcome) -> None:
        """Count an attempt by its outcome."""
        self.problems.count(f"attempts_{outcome.value}")

    def answered(self, request: LiveRequest, response: ProxyResponse) -> None:
        """Count a final response; logs it unless the first attempt of the request was successful."""
        if response.kind is ResponseKind.SERVED and len(request.attempts) == 1:
            self.problems.count("request_served")
            return
        reason = end_reason(request, response)
        self.problems.report(KINDS[response.kind], lambda: describe(request, reason))

    def client_left(self, request: LiveRequest) -> None:
        """Count and log a request whose client has closed its connection."""
        self.problems.report("request_client_left", lambda: describe(request, "client_disconnected"))


def end_reason(request: LiveRequest, response: ProxyResponse) -> str:
    """Return why a request got this final response."""
    if response.kind is ResponseKind.SERVED:
        return "response"
    if response.limit_exceeded is not None:
        return "rate_limit"
    if not request.attempts:
        return "not_admitted"
    if clock_us() >= request.due_us:
        return "deadline"
    unknown = any(attempt.outcome not in NEVER_RAN for attempt in request.attempts)
    return "may_have_run" if unknown else "no_further_attempt"


def describe(request: LiveRequest, reason: str) -> str:
    """Return a request's fields: who and why, then its attempts in order."""
    proxied = request.proxied
    waited_us = clock_us() - proxied.arrived_us
    settings = request.pools[0].settings if request.pools else None
    name = settings.classes[proxied.class_index].name if settings else ""
    fields = [
        f"request={proxied.external_id.decode('latin-1') or request.request_id}",
        f"class={name}",
        f"reason={reason}",
        f"waited_ms={waited_us / 1e3:.1f}",
        f"attempts={len(request.attempts)}",
    ]
    for number, attempt in enumerate(request.attempts, 1):
        fields.append(f"attempt_{number}={_describe_attempt(attempt, proxied.arrived_us)}")
    return " ".join(fields)


def _describe_attempt(attempt: LiveAttempt, arrived_us: int) -> str:
    """Return an attempt's fields; `start_ms` and `end_ms` count from the request's arrival."""
    fields = [
        f"endpoint:{attempt.endpoint_id}",
        f"start_ms:{(attempt.started_us - arrived_us) / 1e3:.1f}",
        f"end_ms:{(attempt.ended_us - arrived_us) / 1e3:.1f}" if attempt.ended else "end_ms:-",
        f"outcome:{attempt.outcome.value if attempt.outcome else 'in_flight'}",
    ]
    use = attempt.use
    if use is None:
        fields.append("connection:-")
    else:
        fields.append(f"connection:{use.connection}")
        fields.append(f"idle_ms:{use.idle_us / 1e3:.1f}" if use.reused else "idle_ms:new")
        fields.append(f"cause:{use.cause or '-'}")
    return ",".join(fields)
