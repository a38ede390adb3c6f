"""What an operator's hook may change of a request, and nothing else: the checks that keep the four rules.

A verdict has no place for an attempt, a server, a time or a key, so none of these can be asked for. What it
has is checked here, whole: one part that may not be makes the verdict a fault, and nothing of it is taken.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass, field

from plovertrail.decisions.settings import EFFECTS, RequestClass

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,128}")  # RFC 9110, section 5.6.2
FIELD_VALUE = re.compile(rb"[!-~]([\t -~]*[!-~])?|")  # hazard: CR and LF would begin a header, or a message
TENANT = re.compile(rb"[!-~]{0,128}")
# the framing of messages, and what says whether a request has run or may be sent again
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
    """A hook asked for what it may not have; the text says what, for its author."""


@dataclass(slots=True)
class Verdict:
    """What a hook asks for, undecoded names and values as it wrote them."""

    refuse: int = 0  # a status; 0 = go on
    body: bytes = b""
    set_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    remove_headers: list[bytes] = field(default_factory=list)
    tenant: bytes | None = None
    class_name: bytes | None = None
    counts: list[tuple[bytes, int]] = field(default_factory=list)
    logs: list[bytes] = field(default_factory=list)


EMPTY_VERDICT = Verdict()  # asks for nothing; most verdicts


@dataclass(frozen=True, slots=True)
class Allowed:
    """What verdicts on the requests of one route may ask for."""

    protected: Collection[bytes] = ()  # further headers, in lower case: keys, the request's id, addresses
    classes: Collection[bytes] = ()  # the names that may be chosen
    counters: Collection[bytes] = ()  # the names that may be counted


def at_least_as_strict(candidate: RequestClass, base: RequestClass) -> bool:
    """Whether a request of class `base` may be handled as one of `candidate` (rule 2). Hazard: a keyed class
    that remembers for longer, or in more places, than the other's servers do would let a repeat run."""
    if candidate.effect != base.effect:
        return EFFECTS.index(candidate.effect) > EFFECTS.index(base.effect)  # the stricter the later
    if candidate.effect != "deduplicated":
        return True
    return candidate.dedup_window_us <= base.dedup_window_us and candidate.dedup_scope == base.dedup_scope


def check_header_name(name: bytes, allowed: Allowed) -> None:
    """Raises InvalidVerdictError for a header that is not a hook's to change."""
    if not TOKEN.fullmatch(name):
        raise InvalidVerdictError(f"{_quoted(name)} is no header name")
    lower = name.lower()
    if lower in PROTECTED or lower in allowed.protected or lower.startswith(PROTECTED_PREFIXES):
        raise InvalidVerdictError(f"the header {_quoted(name)} is not a hook's to change")


def check_common(verdict: Verdict, allowed: Allowed) -> None:
    """What holds in every phase; raises InvalidVerdictError."""
    for name, _ in verdict.counts:
        if name not in allowed.counters:
            raise InvalidVerdictError(f"no counter is called {_quoted(name)}")
    if len(verdict.logs) > MAX_LOG_LINES:
        raise InvalidVerdictError(f"{len(verdict.logs)} log lines; at most {MAX_LOG_LINES} are taken")
    if any(len(text) > MAX_LOG_LINE_BYTES for text in verdict.logs):
        raise InvalidVerdictError(f"a log line of over {MAX_LOG_LINE_BYTES} bytes")


def check_headers(verdict: Verdict, allowed: Allowed) -> None:
    """Headers set and removed, of a request or an answer; raises InvalidVerdictError."""
    if len(verdict.set_headers) + len(verdict.remove_headers) > MAX_HEADERS:
        raise InvalidVerdictError(f"more than {MAX_HEADERS} headers set or removed")
    if sum(len(name) + len(value) for name, value in verdict.set_headers) > MAX_HEADER_BYTES:
        raise InvalidVerdictError(f"more than {MAX_HEADER_BYTES} bytes of headers")
    for name, value in verdict.set_headers:
        check_header_name(name, allowed)
        if not FIELD_VALUE.fullmatch(value):
            raise InvalidVerdictError(f"the value of {_quoted(name)} is not plain text")
    for name in verdict.remove_headers:
        check_header_name(name, allowed)


def check_request(verdict: Verdict, allowed: Allowed) -> None:
    """A verdict on a request's head; raises InvalidVerdictError."""
    check_common(verdict, allowed)
    check_headers(verdict, allowed)
    if verdict.refuse and verdict.refuse not in REFUSAL_STATUSES:
        raise InvalidVerdictError(f"a request can't be refused with {verdict.refuse}")
    if len(verdict.body) > MAX_BODY_BYTES:
        raise InvalidVerdictError(f"a refusal's body of over {MAX_BODY_BYTES} bytes")
    if verdict.body and not verdict.refuse:
        raise InvalidVerdictError("a body without a refusal")
    if verdict.tenant is not None and not TENANT.fullmatch(verdict.tenant):
        raise InvalidVerdictError(f"{_quoted(verdict.tenant)} is no tenant")
    if verdict.class_name is not None and verdict.class_name not in allowed.classes:
        raise InvalidVerdictError(
            f"{_quoted(verdict.class_name)} is none of the classes that may be chosen here"
        )


def check_answer(verdict: Verdict, allowed: Allowed) -> None:
    """A verdict on an answer's head; raises InvalidVerdictError."""
    check_common(verdict, allowed)
    check_headers(verdict, allowed)
    if verdict.refuse or verdict.body or verdict.tenant is not None or verdict.class_name is not None:
        raise InvalidVerdictError("an answer has headers to change, and nothing else")


def check_end(verdict: Verdict, allowed: Allowed) -> None:
    """A verdict on a request that is over; raises InvalidVerdictError."""
    check_answer(verdict, allowed)
    if verdict.set_headers or verdict.remove_headers:
        raise InvalidVerdictError("a request that is over has nothing left to change")


def named_headers(verdict: Verdict) -> set[bytes]:
    """The headers that a verdict sets or removes, in lower case."""
    return {name.lower() for name in (*verdict.remove_headers, *(name for name, _ in verdict.set_headers))}


def changed_headers(headers: list[tuple[bytes, bytes]], verdict: Verdict) -> list[tuple[bytes, bytes]]:
    """Headers as a checked verdict leaves them: those that it names go, those that it sets come last."""
    named = named_headers(verdict)
    return [pair for pair in headers if pair[0].lower() not in named] + verdict.set_headers


def _quoted(data: bytes) -> str:
    return ascii(data[:40].decode("latin-1"))
