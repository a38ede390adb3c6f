"""Parses one request of the platform's application at a time, and tells where it ends."""

from __future__ import annotations

import httptools

from plovertrail.http1.empty_line import EmptyLineFinder
from plovertrail.http1.header_block import IncomingHeaders
from plovertrail.listeners.platform_requests import InvalidRequestError

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
FRAMING_HEADER_LENGTHS = (len("Content-Length"), len("Transfer-Encoding"))  # a head may have thousands
MALFORMED = "malformed request"
SUPPORTED_VERSIONS = ("1.0", "1.1")


class PlatformRequestReader:
    """Parses the bytes of one request, up to its end. The parser calls the `on_` methods."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._empty_lines = EmptyLineFinder()
        self.reset()

    def reset(self) -> None:
        """Begin with the next request of the connection."""
        self._empty_lines.reset()
        self.received_bytes = 0
        self.head_complete = False
        self.complete = False
        self.keep_alive = True
        self.method = b""
        self.version = ""
        self._body_bytes = 0  # as told by the head
        self.free()

    def free(self) -> None:
        """Free what was received of the request."""
        self.target = b""
        self.headers = IncomingHeaders()
        self.body = bytearray()

    def release(self) -> None:
        """Drop the parser: the reference cycle with it would last until a rare full garbage collection."""
        self.free()
        self._parser = None

    def feed(self, data: bytes) -> bytes:
        """Parse bytes up to the end of the request, and return those behind it.

        Raises InvalidRequestError, also if the head is too long.
        """
        begin = 0
        while begin < len(data) and not self.complete:
            end = self._next_stop(data, begin)
            if end == begin:
                raise InvalidRequestError(413, "the head is too long")
            self.received_bytes += end - begin
            self._parse(data[begin:end])
            begin = end
        self._empty_lines.end_read(data)
        return data[begin:]

    def _next_stop(self, data: bytes, begin: int) -> int:
        """Return the first position behind `begin` at which the request may be complete or too long."""
        if self.head_complete:
            return min(len(data), begin + max(1, self._body_bytes - len(self.body)))
        head_capacity = MAX_HEAD_BYTES - self.received_bytes
        return min(self._empty_lines.next_stop(data, begin), begin + head_capacity)

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, InvalidRequestError) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise InvalidRequestError(400, MALFORMED) from None

    def check_version(self) -> None:
        """Raise InvalidRequestError if the request is of another version of HTTP."""
        if self.version not in SUPPORTED_VERSIONS:
            raise InvalidRequestError(400, "not HTTP/1.1")

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Handle the beginning of a request; raises InvalidRequestError if it is a further one."""
        if self.complete:
            raise InvalidRequestError(400, MALFORMED)

    def on_url(self, url: bytes) -> None:
        """Collect a further piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; raises InvalidRequestError if it announces a body that is rejected."""
        self.headers.append((name, value))
        if len(name) not in FRAMING_HEADER_LENGTHS:
            return
        lower_name = name.lower()
        if lower_name == b"transfer-encoding":
            # a parser that uses it and one that uses Content-Length find the next request at different places
            raise InvalidRequestError(400, "no chunked requests")
        if lower_name == b"content-length":
            self._body_bytes = int(value)
            if self._body_bytes > MAX_BODY_BYTES:
                raise InvalidRequestError(413, "the body is too long")  # without reading the body

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        assert self._parser is not None
        self.head_complete = True
        self.method = self._parser.get_method()
        self.version = self._parser.get_http_version()

    def on_body(self, data: bytes) -> None:
        """Collect a further piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Handle the end of the request."""
        assert self._parser is not None
        self.keep_alive = self._parser.should_keep_alive()
        self.complete = True
