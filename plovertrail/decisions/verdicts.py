"""What an operator's hook may change of a request, and the checks that keep the balancer's guarantees.

A verdict has no field for an attempt, an endpoint, a time or a key, so that a hook cannot change the
decisions on these. All its parts are checked here; a single part that is not allowed makes the whole verdict
invalid, and nothing of it is applied.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass, field

from plovertrail.decisions.settings import EFFECTS, RequestClass

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,128}")  # RFC 9110, section 5.6.2
FIELD_VALUE = re.compile(rb"[!-~]([\t -~]*[!-~])?|")  # CR and LF would begin another header or message
TENANT = re.compile(rb"[!-~]{0,128}")
# headers that frame messages, or that tell whether a request has run or may be sent again
PROTECTED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"content-encoding",
        b"content-range",
        b"expect",
        b"host",
        b"x-deadline-ms",
        b"idempotency-key",
        b"x-not-run",
        b"retry-after",
        b"date",
        b"forwarded",
    )
)
PROTECTED_PREFIXES = (b"sec-websocket-", b"proxy-", b"x-forwarded-")
# not 408 and 421, which ask the client to send the request again
REFUSAL_STATUSES = frozenset((*range(400, 408), *range(409, 421), *range(422, 500), 503))
MAX_HEADERS = 32  # set or removed by one verdict
MAX_HEADER_BYTES = 8 << 10  # of names and values set by one verdict
MAX_BODY_BYTES = 4 << 10  # of a refusal
MAX_LOG_LINES = 4
MAX_LOG_LINE_BYTES = 256


class InvalidVerdictError(Exception):
    """A hook asked for something that is not allowed; the message is for the author of the hook."""


@dataclass(slots=True)
class Verdict:
    """What a hook asks for; names and values are undecoded."""

    refuse: int = 0  # the status to refuse the request with; 0 = do not refuse
    body: bytes = b""
    set_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    remove_headers: list[bytes] = field(default_factory=list)
    tenant: bytes | None = None
    class_name: bytes | None = None
    counts: list[tuple[bytes, int]] = field(default_factory=list)
    logs: list[bytes] = field(default_factory=list)


EMPTY_VERDICT = Verdict()  # asks for nothing, as most verdicts do


@dataclass(frozen=True, slots=True)
class Allowed:
    """What verdicts on the requests of one route may ask for."""

    protected: Collection[bytes] = ()  # more headers, in lower case: keys, request ids, addresses
    classes: Collection[bytes] = ()  # names of the classes that may be chosen
    counters: Collection[bytes] = ()  # names of the counters that may be incremented


def at_least_as_strict(candidate: RequestClass, base: RequestClass) -> bool:
    """Whether requests of class `base` may be handled as `candidate` without being repeated more freely.

    A deduplicated class may not have a longer window or another scope than `base`: otherwise a repeat could
    reach a server that has forgotten the key, or never had it, and run again.
    """
    if candidate.effect != base.effect:
        # EFFECTS is ordered by strictness
        return EFFECTS.index(candidate.effect) > EFFECTS.index(base.effect)
    if candidate.effect != "deduplicated":
        return True
    return candidate.dedup_window_us <= base.dedup_window_us and candidate.dedup_scope == base.dedup_scope


def check_header_name(name: bytes, allowed: Allowed) -> None:
    """Raise InvalidVerdictError if hooks may not change a header."""
    if not TOKEN.fullmatch(name):
        raise InvalidVerdictError(f"{_quoted(name)} is not a valid header name")
    lower = name.lower()
    if lower in PROTECTED or lower in allowed.protected or lower.startswith(PROTECTED_PREFIXES):
        raise InvalidVerdictError(f"hooks may not change the header {_quoted(name)}")


def check_common(verdict: Verdict, allowed: Allowed) -> None:
    """Check what applies in all phases; raises InvalidVerdictError."""
    for name, _ in verdict.counts:
        if name not in allowed.counters:
            raise InvalidVerdictError(f"the hook has no counter {_quoted(name)}")
    if len(verdict.logs) > MAX_LOG_LINES:
        raise InvalidVerdictError(f"{len(verdict.logs)} log lines; at most {MAX_LOG_LINES} are allowed")
    if any(len(text) > MAX_LOG_LINE_BYTES for text in verdict.logs):
        raise InvalidVerdictError(f"a log line is longer than {MAX_LOG_LINE_BYTES} bytes")


def check_headers(verdict: Verdict, allowed: Allowed) -> None:
    """Check the headers to set and remove, of a request or response; raises InvalidVerdictError."""
    if len(verdict.set_headers) + len(verdict.remove_headers) > MAX_HEADERS:
        raise InvalidVerdictError(f"more than {MAX_HEADERS} headers set or removed")
    if sum(len(name) + len(value) for name, value in verdict.set_headers) > MAX_HEADER_BYTES:
        raise InvalidVerdictError(f"more than {MAX_HEADER_BYTES} bytes of headers set")
    for name, value in verdict.set_headers:
        check_header_name(name, allowed)
        if not FIELD_VALUE.fullmatch(value):
            raise InvalidVerdictError(f"the value of {_quoted(name)} is not printable ASCII")
    for name in verdict.remove_headers:
        check_header_name(name, allowed)


def check_request(verdict: Verdict, allowed: Allowed) -> None:
    """Check a verdict on the head of a request; raises InvalidVerdictError."""
    check_common(verdict, allowed)
    check_headers(verdict, allowed)
    if verdict.refuse and verdict.refuse not in REFUSAL_STATUSES:
        raise InvalidVerdictError(f"a request cannot be refused with status {verdict.refuse}")
    if len(verdict.body) > MAX_BODY_BYTES:
        raise InvalidVerdictError(f"the body of a refusal is longer than {MAX_BODY_BYTES} bytes")
    if verdict.body and not verdict.refuse:
        raise InvalidVerdictError("a body without a refusal")
    if verdict.tenant is not None and not TENANT.fullmatch(verdict.tenant):
        raise InvalidVerdictError(f"{_quoted(verdict.tenant)} is not a valid tenant name")
    if verdict.class_name is not None and verdict.class_name not in allowed.classes:
        raise InvalidVerdictError(
            f"{_quoted(verdict.class_name)} is not one of the classes that may be chosen here"
        )


def check_answer(verdict: Verdict, allowed: Allowed) -> None:
    """Check a verdict on the head of a response; raises InvalidVerdictError."""
    check_common(verdict, allowed)
    check_headers(verdict, allowed)
    if verdict.refuse or verdict.body or verdict.tenant is not None or verdict.class_name is not None:
        raise InvalidVerdictError("only the headers of a response can be changed")


def check_end(verdict: Verdict, allowed: Allowed) -> None:
    """Check a verdict on a request that has ended; raises InvalidVerdictError."""
    check_answer(verdict, allowed)
    if verdict.set_headers or verdict.remove_headers:
        raise InvalidVerdictError("no header can be changed after the end of a request")


def named_headers(verdict: Verdict) -> set[bytes]:
    """Return the names of the headers that a verdict sets or removes, in lower case."""
    return {name.lower() for name in (*verdict.remove_headers, *(name for name, _ in verdict.set_headers))}


def changed_headers(headers: list[tuple[bytes, bytes]], verdict: Verdict) -> list[tuple[bytes, bytes]]:
    """Return headers without those that a checked verdict names, followed by those that it sets."""
    named = named_headers(verdict)
    return [pair for pair in headers if pair[0].lower() not in named] + verdict.set_headers


def _quoted(data: bytes) -> str:
    return ascii(data[:40].decode("latin-1"))
