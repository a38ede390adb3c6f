"""Reads one HTTP/1.1 response within bounds, and classifies it."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from plovertrail.decisions.events import Outcome
from plovertrail.dispatch.types import Headers

MAX_HEAD_BYTES = 32 * 1024
FRAMING_FACTOR = 4  # a response, its head and framing included, is at most so many times the longest body


class ResponseTooLongError(ValueError):
    """A response with a longer body than is allowed."""


@dataclass(frozen=True, slots=True)
class ResponseRules:
    """Which responses are accepted, and which of these are errors."""

    max_body_bytes: int = 64 * 1024
    error_statuses: frozenset[int] | None = None  # None: all but 200

    def outcome(self, status: int, not_run: bool) -> Outcome:
        """What a complete response means; only the endpoint's own word tells that nothing has run."""
        if status in (503, 504) and not_run:
            return Outcome.REJECTED
        good = status == 200 if self.error_statuses is None else status not in self.error_statuses
        return Outcome.OK if good else Outcome.ERROR


class ResponseReader:
    """The response to one request, fed as its bytes arrive. The parser calls the `on_` methods.

    `head_only`: the response to HEAD, which has no body whatever its headers say. `awaits_upgrade`: a 101 is
    the final response.
    """

    def __init__(self, rules: ResponseRules, head_only: bool, awaits_upgrade: bool) -> None:
        self.rules = rules
        self.head_only = head_only
        self.awaits_upgrade = awaits_upgrade
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.complete = False
        self.reusable = True  # the connection may carry another request after this response
        self.switched_protocols = False  # the response was a 101 to a handshake
        self.status = 0
        self.not_run = False
        self.headers: Headers = []
        self.framed = False  # the head tells where the response ends
        self.head_done = False
        self.body = bytearray()
        self.received = 0

    def feed(self, data: bytes) -> None:
        """Read some bytes; raises httptools' errors, and ResponseTooLongError."""
        assert self.parser is not None
        self.received += len(data)
        self.parser.feed_data(data)

    def end_of_stream(self) -> bool:
        """The connection has ended; returns whether that ends a response without a length (RFC 9112, 6.3)."""
        if self.parser is None or not self.head_done or self.framed or self.complete:
            return False
        self.status = self.parser.get_status_code()
        self.complete = True
        return True

    def release(self) -> None:
        """Let go of the parser: they hold each other, and would wait for a rare full garbage collection."""
        self.parser = None

    @property
    def too_long(self) -> bool:
        """Whether more bytes have been received than a response may have."""
        most = FRAMING_FACTOR * self.rules.max_body_bytes if self.head_done else MAX_HEAD_BYTES
        return self.received > most

    # What the parser calls

    def on_message_begin(self) -> None:
        """A response begins; after a second one to a request the connection is of no further use."""
        if self.complete:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the head; raises ResponseTooLongError if it announces too long a body."""
        if self.complete or self.head_done:
            return  # of a second response, or behind a chunked body
        lower = name.lower()
        if lower == b"content-length":
            self.framed = True
            if int(value) > self.rules.max_body_bytes and not self.head_only:
                raise ResponseTooLongError("the response is too long")  # it may keep coming for hours
        elif lower == b"transfer-encoding":
            self.framed = True
        elif lower == b"x-not-run":
            self.not_run = value.strip() == b"1"
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete; the final response to HEAD is complete with it."""
        self.head_done = True
        if self.head_only and self.parser is not None and self.parser.get_status_code() >= 200:
            self.on_message_complete()  # the parser doesn't know the method, and waits for a body

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; raises ResponseTooLongError if it becomes too long."""
        if not self.complete:
            self.body += data
            if len(self.body) > self.rules.max_body_bytes:
                raise ResponseTooLongError("the response is too long")
        else:
            self.reusable = False  # a body where none belongs would be read as the next response

    def on_message_complete(self) -> None:
        """The response is complete, or an interim one is, after which the final one is awaited.

        A 101 to a handshake is only noted here, and handled once the parser has raised.
        """
        assert self.parser is not None
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.status == 101 and self.awaits_upgrade:
            self.switched_protocols = True
            return
        if self.status < 200:
            self.not_run = False
            self.head_done = False
            self.framed = False
            self.headers = []
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.reusable = False
