"""Parses the HTTP/1.1 requests of one connection, with limits on their size and number."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass

import httptools

from plovertrail.http1.empty_line import EmptyLineFinder

MAX_PIPELINED_REQUESTS = 16  # parsed requests of one connection that wait for the current one
MAX_HEADERS = 100
MALFORMED = "malformed request"
CHECKED_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"expect"))
# methods that change nothing (RFC 9110, section 9.2.1), and whose requests usually have no body
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS", b"TRACE"))
HEADER_VALUE = re.compile(rb"[\t -~\x80-\xff]*")  # RFC 9110, section 5.5


class MalformedRequestError(Exception):
    """A request that can't be accepted, with the status and the text of its error response.

    The connection is closed after that response, as it is not known where the next request begins.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class RequestMessage:
    """A complete request; a chunked body is decoded, and its trailers are dropped."""

    method: bytes
    target: bytes
    version: str  # 1.0 or 1.1
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    upgrade: bool = False  # it asks for another protocol; the bytes after it are not parsed
    has_framing: bool = False  # its head tells the length of a body, or that it is chunked

    @property
    def may_be_cut_off(self) -> bool:
        """Whether bytes behind it may be the remainder of its body."""
        return not self.upgrade and (self.has_framing or self.method not in SAFE_METHODS)


class RequestReader:
    """Parses the bytes that it is fed into `messages`, until the first `error`.

    Limits: `max_head_bytes`, `max_body_bytes`, MAX_HEADERS and MAX_PIPELINED_REQUESTS. After a request that
    asks for another protocol, parsing stops and further bytes are collected in `unparsed`. `ignore_upgrade`
    parses them as the next requests: a server may ignore an Upgrade (RFC 9110, section 7.8).
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.stopped_at_upgrade = False
        self.unparsed = bytearray()  # bytes received after the Upgrade, limited by the caller of `feed`
        self.messages: deque[RequestMessage] = deque()
        self.error: MalformedRequestError | None = None
        self.pipeline_full = False  # more requests were pipelined than may wait; the rest is not parsed
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._empty_lines = EmptyLineFinder()
        self._begin()

    def _begin(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._framing: list[bytes] = []  # names of the headers that give the length of the body
        self._body = bytearray()
        self._message_bytes = 0  # bytes read since the previous message
        self._body_bytes = 0  # as told by the head
        self._partial = False
        self._head_done = False
        self.expects_continue = False  # the client sends the body only after a 100 (RFC 9110, 10.1.1)

    @property
    def partial(self) -> bool:
        """Whether part of a request has been received, but not all of it."""
        return self._partial

    @property
    def contradicts_last_message(self) -> bool:
        """Whether bytes have come behind the last complete request that are no complete request.

        Then its length may be too small, and these bytes the remainder of its body. The last one of more
        requests than may wait is taken to be complete, as all before it were.
        """
        return not self.pipeline_full and (self._message_bytes > 0 or self.error is not None)

    def discard(self) -> None:
        """Free everything that was received; nothing is fed from now on."""
        self.messages.clear()
        self.unparsed = bytearray()
        self._begin()

    def release(self) -> None:
        """Drop the parser: the reference cycle with it would last until a rare full garbage collection."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parse more bytes of the connection; never raises."""
        if self.stopped_at_upgrade:
            self.unparsed += data
            return
        begin = 0
        while begin < len(data) and not self._has_ended():
            end = self._next_stop(data, begin)
            begin = self._parse(data, begin, end)
        self._empty_lines.end_read(data)
        if self.stopped_at_upgrade:
            return
        if self.pipeline_full:
            self.error = None
        elif self.error is None:
            # An endless head, or endless one-byte chunks with long extensions, would exhaust the memory.
            if self._partial and not self._head_done and self._message_bytes > self.max_head_bytes:
                self.error = MalformedRequestError(431, "the head is too long")
            elif self._message_bytes > self.max_head_bytes + 2 * self.max_body_bytes + 65_536:
                self.error = MalformedRequestError(413, "the request is too long")

    def _has_ended(self) -> bool:
        """Whether nothing more is parsed."""
        return self.error is not None or self.pipeline_full or self.stopped_at_upgrade or self._parser is None

    def _next_stop(self, data: bytes, begin: int) -> int:
        """Return the first position behind `begin` at which a request may be complete.

        The parser is fed no more than one request has, so that what stands behind it is known to the byte.
        """
        if self._head_done and b"transfer-encoding" not in self._framing:
            return min(len(data), begin + max(1, self._body_bytes - len(self._body)))
        return self._empty_lines.next_stop(data, begin)

    def _parse(self, data: bytes, begin: int, end: int) -> int:
        """Parse a part of a read; return the position up to which it has been used."""
        assert self._parser is not None
        self._message_bytes += end - begin
        try:
            self._parser.feed_data(data[begin:end])
        except httptools.HttpParserUpgrade as upgrade:
            begin += upgrade.args[0]
            self._parser = httptools.HttpRequestParser(self)
            if self.messages:
                self.messages[-1].upgrade = self.stopped_at_upgrade = True
                self.unparsed += data[begin:]
            return begin
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, MalformedRequestError):
                cause = MalformedRequestError(400, MALFORMED)
            self.error = cause
        except httptools.HttpParserError:
            self.error = MalformedRequestError(400, MALFORMED)
        if self._message_bytes == 0 and not self.messages[-1].keep_alive:
            # the parser reads nothing behind a request that is to be the last one
            self._parser = httptools.HttpRequestParser(self)
        return end

    def ignore_upgrade(self) -> None:
        """Ignore the Upgrade and parse the bytes after it as the next requests."""
        data, self.unparsed, self.stopped_at_upgrade = bytes(self.unparsed), bytearray(), False
        self.feed(data)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Parser callback: a request begins. Raises if MAX_PIPELINED_REQUESTS already wait."""
        if len(self.messages) >= MAX_PIPELINED_REQUESTS:
            self.messages[-1].keep_alive = False
            self.pipeline_full = True
            raise MalformedRequestError(400, "too many requests at once")
        self._partial = True

    def on_url(self, url: bytes) -> None:
        """Parser callback: a further piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header, or a trailer, which is dropped. Raises MalformedRequestError."""
        if self._head_done:
            return  # a trailer must not be mistaken for a header
        if len(self._headers) >= MAX_HEADERS:
            raise MalformedRequestError(431, "too many headers")
        value = value.strip(b" \t")
        if not HEADER_VALUE.fullmatch(value):
            raise MalformedRequestError(400, "a header's value is not text")
        self._headers.append((name, value))
        lower_name = name.lower()
        if lower_name not in CHECKED_HEADERS:
            return
        if lower_name != b"expect":
            self._framing.append(lower_name)
        if lower_name == b"content-length":
            if not value.isdigit() or len(value) > 15:
                raise MalformedRequestError(400, "Content-Length is no whole number")
            if int(value) > self.max_body_bytes:
                # Rejected before the body arrives, which would be read in vain.
                raise MalformedRequestError(413, "the body is too long")
            self._body_bytes = int(value)
        elif lower_name == b"transfer-encoding" and value.lower() != b"chunked":
            raise MalformedRequestError(501, "a Transfer-Encoding other than chunked")
        elif lower_name == b"expect":
            if value.lower() != b"100-continue":
                raise MalformedRequestError(417, "an Expect other than 100-continue")
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete. Raises MalformedRequestError if it can't be accepted."""
        assert self._parser is not None
        self._head_done = True
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self.max_head_bytes:
            raise MalformedRequestError(431, "the head is too long")
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise MalformedRequestError(505, "not HTTP/1.1")
        if len(self._framing) > 1 or (version == "1.0" and b"transfer-encoding" in self._framing):
            # Request smuggling: two readers that each trust another of the lengths disagree on where the next
            # request begins (RFC 9112, section 6.3).
            raise MalformedRequestError(400, "a body with two lengths")
        if version == "1.0":
            self.expects_continue = False

    def on_body(self, data: bytes) -> None:
        """Parser callback: a further piece of the body. Raises MalformedRequestError if it is too long."""
        self.expects_continue = False
        self._body += data
        if len(self._body) > self.max_body_bytes:
            raise MalformedRequestError(413, "the body is too long")

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete and is appended to `messages`."""
        assert self._parser is not None
        self.messages.append(
            RequestMessage(
                self._parser.get_method(),
                self._target,
                self._parser.get_http_version(),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                has_framing=bool(self._framing),
            )
        )
        self._begin()
