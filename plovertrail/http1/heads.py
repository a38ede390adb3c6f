"""Message heads as a proxy forwards them (RFC 9110, section 7.6)."""

from __future__ import annotations

from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
HOP_BY_HOP = frozenset(
    (  # headers that hold for one connection, and Content-Length, which is set anew for the forwarded body
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """The headers to forward: without hop-by-hop headers, those that Connection names, and `dropped`."""
    named_in_connection: frozenset[bytes] = frozenset()
    for name, value in headers:
        if len(name) == 10 and name.lower() == b"connection":
            named_in_connection |= frozenset(token.strip().lower() for token in value.split(b","))
    excluded = HOP_BY_HOP | dropped | named_in_connection if named_in_connection or dropped else HOP_BY_HOP
    return [header for header in headers if header[0].lower() not in excluded]


def response_head(status: int, headers: Headers, length: int | None, connection: bytes = b"") -> bytes:
    """The head of a response; `length` is None where there is no Content-Length (204, 304)."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines.extend([b"%s: %s\r\n" % header for header in headers])
    if length is not None:
        lines.append(b"Content-Length: %d\r\n" % length)
    if connection:
        lines.append(b"Connection: %s\r\n" % connection)
    lines.append(b"\r\n")
    return b"".join(lines)
