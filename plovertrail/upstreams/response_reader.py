"""Parses one HTTP/1.1 response, with limits on its size, and classifies it."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from plovertrail.decisions.events import Outcome
from plovertrail.http1.empty_line import EmptyLineFinder
from plovertrail.http1.header_block import IncomingHeaders

MAX_HEAD_BYTES = 32 * 1024
JSON_TYPE = b"application/json"
BODYLESS_STATUSES = (204, 304)  # RFC 9112, section 6.3
FRAMING_FACTOR = 4  # limit of a whole response, with head and framing, as a multiple of max_body_bytes


class ResponseTooLongError(ValueError):
    """The body of a response exceeds the limit."""


@dataclass(frozen=True, slots=True)
class ResponseRules:
    """Which responses are accepted, and which of them count as errors."""

    max_body_bytes: int = 64 * 1024
    error_statuses: frozenset[int] | None = None  # None: every status but 200

    @property
    def may_precede_request(self) -> bool:
        """Whether a response may come before all of its request was sent (RFC 9112, section 9.5).

        The platform's endpoints begin a request when its last byte has come.
        """
        return self.error_statuses is not None

    def outcome(self, status: int, not_run: bool) -> Outcome:
        """The outcome of a complete response; REJECTED only if X-Not-Run says that nothing has run."""
        if status in (503, 504) and not_run:
            return Outcome.REJECTED
        good = status == 200 if self.error_statuses is None else status not in self.error_statuses
        return Outcome.OK if good else Outcome.ERROR


class ResponseReader:
    """Parses the response to one request as its bytes arrive. The parser calls the `on_` methods.

    `head_only`: the request is a HEAD, so the response has no body, whatever its headers say.
    `awaits_upgrade`: the request asks for an upgrade, so a 101 is the final response.
    """

    def __init__(self, rules: ResponseRules, head_only: bool, awaits_upgrade: bool) -> None:
        self.rules = rules
        self.head_only = head_only
        self.awaits_upgrade = awaits_upgrade
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.complete = False
        self.reusable = True  # the connection may carry another request after this response
        self.behind = b""  # bytes that came right behind the response
        self.switched_protocols = False  # the response is a 101 to a handshake
        self.status = 0
        self.not_run = False  # the endpoint sent X-Not-Run: 1
        self._headers = IncomingHeaders()
        self.body_bytes: int | None = None  # the length that the head gives for the body
        self.chunked = False
        self.head_done = False
        self.body = bytearray()
        self.received = 0
        self._empty_lines = EmptyLineFinder()

    def feed(self, data: bytes) -> None:
        """Parse bytes up to the end of the response; raises httptools' errors and ResponseTooLongError."""
        assert self.parser is not None
        self.received += len(data)
        begin = 0
        while begin < len(data) and not self.complete:
            end = self._next_stop(data, begin)
            try:
                self.parser.feed_data(data[begin:end])
            except httptools.HttpParserUpgrade as upgrade:
                self.behind = data[begin + upgrade.args[0] :]
                raise
            begin = end
        if self.complete:
            self.behind = data[begin:]
            self.reusable = self.reusable and not self.behind
            return
        self._empty_lines.end_read(data)
        self._headers.pause()

    def _next_stop(self, data: bytes, begin: int) -> int:
        """Return the first position behind `begin` at which the response may be complete."""
        if self.head_done and not self.chunked:
            missing = len(data) if self.body_bytes is None else self.body_bytes - len(self.body)
            return min(len(data), begin + max(missing, 1))
        return self._empty_lines.next_stop(data, begin)

    @property
    def framed(self) -> bool:
        """Whether the head gives the length of the body, or it is chunked."""
        return self.chunked or self.body_bytes is not None

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of the final response."""
        return self._headers.all()

    @property
    def bodyless(self) -> bool:
        """Whether the response has no body, whatever its headers say."""
        return self.head_only or self.status in BODYLESS_STATUSES

    @property
    def is_json(self) -> bool:
        """Whether the head says that the body is JSON."""
        return any(
            name.lower() == b"content-type" and value.strip().lower().startswith(JSON_TYPE)
            for name, value in self._headers.all()
        )

    def end_of_stream(self) -> bool:
        """Handle the end of the stream; returns whether it completes the response (RFC 9112, section 6.3).

        It does so for a response without a length.
        """
        if self.parser is None or not self.head_done or self.framed or self.complete:
            return False
        self.status = self.parser.get_status_code()
        self.complete = True
        return True

    def says_the_same(self, other: ResponseReader) -> bool:
        """Whether two responses are alike."""
        return (self.status, self.body) == (other.status, other.body)

    def release(self) -> None:
        """Drop the parser: the reference cycle with it would last until a rare full garbage collection."""
        self.parser = None

    @property
    def too_long(self) -> bool:
        """Whether more bytes have been received than a response may have."""
        most = FRAMING_FACTOR * self.rules.max_body_bytes if self.head_done else MAX_HEAD_BYTES
        return self.received > most

    # Callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; raises ResponseTooLongError if Content-Length exceeds the limit."""
        if self.complete or self.head_done:
            return  # a header of a second response, or a trailer after a chunked body
        lower = name.lower()
        if lower == b"content-length":
            self.body_bytes = int(value)
            if self.body_bytes > self.rules.max_body_bytes and not self.head_only:
                # Rejected before the body arrives, which could take hours.
                raise ResponseTooLongError("the response is too long")
        elif lower == b"transfer-encoding":
            self.chunked = True
        elif lower == b"x-not-run":
            self.not_run = value.strip() == b"1"
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of the head, which is also the end of a final response to HEAD."""
        self.head_done = True
        if self.head_only and self.parser is not None and self.parser.get_status_code() >= 200:
            self.on_message_complete()  # the parser doesn't know the request's method and expects a body

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; raises ResponseTooLongError if it exceeds the limit."""
        self.body += data
        if len(self.body) > self.rules.max_body_bytes:
            raise ResponseTooLongError("the response is too long")

    def on_message_complete(self) -> None:
        """Handle the end of a response: a final one, or an interim one that a final one follows.

        A 101 to a handshake is only recorded here; `Connection` handles it when the parser raises.
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
            self.body_bytes = None
            self.chunked = False
            self._headers = IncomingHeaders()
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.reusable = False
