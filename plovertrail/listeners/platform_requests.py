"""Validates the platform's requests and converts them for the dispatcher.

The header names of the platform's protocol are read in this module and nowhere else.
"""

from __future__ import annotations

import re
import time

from plovertrail.clock import clock_us
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.dispatch.types import ProxyRequest
from plovertrail.http1.header_block import packed_if_many

MAX_NUMBER_DIGITS = 9
# not forwarded: hop-by-hop, or set anew for each attempt
OWN_HEADERS = frozenset(
    (
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        b"x-deadline-ms",
    )
)
# a repeated one is rejected, because the endpoint might use the other value
SINGLE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-key",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
        b"x-extras",
        b"idempotency-key",
    )
)
IDENTIFIER = re.compile(rb"[!-~]{1,128}")
HEADER_VALUE = re.compile(rb"[\t -~]*")
KEY_HASH_MASK = 0xFFFF_FFFF_FFFF_FFFF


class InvalidRequestError(Exception):
    """Raised for a request to reject with the given status; the connection is closed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def parse_number(text: bytes, name: str) -> int:
    """Return the value of the header `name` as a number; raises InvalidRequestError."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise InvalidRequestError(400, f"{name} is no whole number")
    return int(text)


def read_headers(headers: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the headers by their lower-case names; raises InvalidRequestError."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in found and lower_name in SINGLE_HEADERS:
            raise InvalidRequestError(400, "a header is repeated")
        if not HEADER_VALUE.fullmatch(value):
            raise InvalidRequestError(400, "a header's value is not plain text")
        found[lower_name] = value.strip()
    return found


class RequestCatalog:
    """The request classes and tenants by name, and the checks of requests against them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {
            request_class.name.encode(): index for index, request_class in enumerate(settings.classes)
        }
        self.tenants = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}

    def make_request(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> ProxyRequest:
        """Validate a request and return it in the dispatcher's form; raises InvalidRequestError.

        Endpoints would reject an invalid request or close the connection, at the cost of the requests that
        follow on it.
        """
        found = read_headers(headers)
        class_index = self._class_index(target, found)
        if not IDENTIFIER.fullmatch(found.get(b"x-request-id", b"")):
            raise InvalidRequestError(400, "no X-Request-Id")
        request_class = self.settings.classes[class_index]
        _check_method(request_class, method, body)
        _check_idempotency_key(request_class, found)
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        deadline_us = 1000 * parse_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms")
        return ProxyRequest(
            method,
            target,
            packed_if_many([header for header in headers if header[0].lower() not in OWN_HEADERS]),
            body,
            clock_us(),
            # a client could ask for a deadline years ahead
            deadline_us=min(deadline_us, request_class.deadline_us),
            class_index=class_index,
            external_id=found[b"x-request-id"],
            tenant=self.tenants.get(found.get(b"x-tenant", b""), 0),
            key=hash(key) & KEY_HASH_MASK if key else 0,
            cost_us=parse_number(cost, "X-Cost-Hint") if cost else 0,
            retried=found.get(b"x-retry") == b"1",
        )

    def _class_index(self, target: bytes, headers: dict[bytes, bytes]) -> int:
        path, _, _query = target.partition(b"?")
        name = path[1:].split(b"/")[0]
        is_path = path.startswith(b"/") and b"#" not in target
        index = self.classes.get(name) if is_path else None
        if index is None or headers.get(b"x-class") != name:
            raise InvalidRequestError(404, "unknown class")
        return index


def _check_method(request_class: RequestClass, method: bytes, body: bytes) -> None:
    if method != (b"GET" if request_class.effect == "idempotent" else b"POST"):
        raise InvalidRequestError(400, "not the method of this class")
    if method == b"GET" and body:
        raise InvalidRequestError(400, "a GET has no body")


def _check_idempotency_key(request_class: RequestClass, headers: dict[bytes, bytes]) -> None:
    if request_class.effect == "deduplicated":
        if not IDENTIFIER.fullmatch(headers.get(b"idempotency-key", b"")):
            raise InvalidRequestError(400, "no Idempotency-Key")
    elif b"idempotency-key" in headers:
        raise InvalidRequestError(400, "an Idempotency-Key, but not for this class")


class RecentRequestIds:
    """The ids of open and recent requests, in two generations of `period_s` seconds each.

    The period has to be at least as long as the longest time that a request may be open.
    """

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s
        self.current: set[bytes] = set()
        self.previous: set[bytes] = set()
        self.rotated_at = time.monotonic()

    def add(self, request_id: bytes) -> bool:
        """Record an id; return False if it is already known."""
        now = time.monotonic()
        if now > self.rotated_at + self.period_s:
            self.previous = self.current if now <= self.rotated_at + 2 * self.period_s else set()
            self.current = set()
            self.rotated_at = now
        if request_id in self.current or request_id in self.previous:
            return False
        self.current.add(request_id)
        return True
