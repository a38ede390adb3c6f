"""Reads requests off a connection: whole ones in their order, within stated bounds, or an error."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass

import httptools

MAX_PIPELINED_REQUESTS = 16  # requests of one connection that wait for the one that is open
MAX_HEADERS = 100
CHECKED_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"expect"))
HEADER_VALUE = re.compile(rb"[\t -~\x80-\xff]*")  # RFC 9110, section 5.5


class MalformedRequestError(Exception):
    """What is no request that may be taken: the status to answer with, and why. The connection ends with it,
    as where the next request would begin is not known."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class RequestMessage:
    """A request as it was sent; a chunked body is decoded, its trailers are dropped."""

    method: bytes
    target: bytes
    version: str  # 1.0 or 1.1
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    upgrade: bool = False  # it asks for another protocol, and what follows was not read


class RequestReader:
    """Bytes in, `messages` out, and once there is an `error`, nothing more. Bounds: `max_head_bytes` and
    `max_body_bytes` in bytes, 100 headers, 16 messages. Behind a request for another protocol reading stops:
    `unparsed` is what has come, and `read_on` ignores the Upgrade, as one may (RFC 9110, section 7.8)."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.stopped_at_upgrade = False  # behind an Upgrade
        self.unparsed = bytearray()  # what has come behind it; the one who feeds bounds it
        self.messages: deque[RequestMessage] = deque()
        self.error: MalformedRequestError | None = None
        self.pipeline_full = False  # more requests came than may wait: what follows is not read
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._begin()

    def _begin(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._framing: list[bytes] = []  # the headers that tell how long the body is
        self._body = bytearray()
        self._message_bytes = 0  # bytes of the message so far, as far as whole reads tell
        self._partial = False
        self._head_done = False
        self.expects_continue = False  # the client waits to be told to send the body (RFC 9110, 10.1.1)

    @property
    def partial(self) -> bool:
        """Whether part of a request has come."""
        return self._partial

    def release(self) -> None:
        """Hazard: reader and parser hold each other, and would wait for a rare full collection."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Read on; never raises."""
        if self.stopped_at_upgrade:
            self.unparsed += data
            return
        while data and self.error is None and not self.pipeline_full and self._parser is not None:
            self._message_bytes += len(data)
            try:
                self._parser.feed_data(data)
                data = b""
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                if self.messages:
                    self.messages[-1].upgrade = self.stopped_at_upgrade = True
                    self.unparsed += data
                    return
            except httptools.HttpParserCallbackError as error:
                cause = error.__context__
                self.error = (
                    cause
                    if isinstance(cause, MalformedRequestError)
                    else MalformedRequestError(400, "malformed request")
                )
            except httptools.HttpParserError:
                self.error = MalformedRequestError(400, "malformed request")
        if self.pipeline_full:
            self.error = None
        elif self.error is None:
            # hazard: a head, or chunks of a byte with long extensions, without end would fill the memory
            if self._partial and not self._head_done and self._message_bytes > self.max_head_bytes:
                self.error = MalformedRequestError(431, "the head is too long")
            elif self._message_bytes > self.max_head_bytes + 2 * self.max_body_bytes + 65_536:
                self.error = MalformedRequestError(413, "the request is too long")

    def ignore_upgrade(self) -> None:
        """The upgrade is ignored: what follows is the next request."""
        data, self.unparsed, self.stopped_at_upgrade = bytes(self.unparsed), bytearray(), False
        self.feed(data)

    # What the parser calls

    def on_message_begin(self) -> None:
        """Parser callback: a request begins. Raises if MOST_PIPELINED requests already wait."""
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
            return  # a trailer: it must not pass for a header
        if len(self._headers) >= MAX_HEADERS:
            raise MalformedRequestError(431, "too many headers")
        value = value.strip(b" \t")
        if not HEADER_VALUE.fullmatch(value):
            raise MalformedRequestError(400, "a header's value is not text")
        self._headers.append((name, value))
        plain = name.lower()
        if plain not in CHECKED_HEADERS:
            return
        if plain != b"expect":
            self._framing.append(plain)
        if plain == b"content-length":
            if not value.isdigit() or len(value) > 15:
                raise MalformedRequestError(400, "Content-Length is no whole number")
            if int(value) > self.max_body_bytes:
                raise MalformedRequestError(
                    413, "the body is too long"
                )  # hazard: it would be read for nothing
        elif plain == b"transfer-encoding" and value.lower() != b"chunked":
            raise MalformedRequestError(501, "a Transfer-Encoding other than chunked")
        elif plain == b"expect":
            if value.lower() != b"100-continue":
                raise MalformedRequestError(417, "an Expect other than 100-continue")
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Parser callback: the head has come whole. Raises MalformedRequestError if it may not be taken."""
        assert self._parser is not None
        self._head_done = True
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self.max_head_bytes:
            raise MalformedRequestError(431, "the head is too long")
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise MalformedRequestError(505, "not HTTP/1.1")
        if len(self._framing) > 1 or (version == "1.0" and b"transfer-encoding" in self._framing):
            # hazard: who goes by one of them and who by the other see the next request begin elsewhere
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
        """Parser callback: the request has come whole and is appended to `messages`."""
        assert self._parser is not None
        self.messages.append(
            RequestMessage(
                self._parser.get_method(),
                self._target,
                self._parser.get_http_version(),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._begin()
