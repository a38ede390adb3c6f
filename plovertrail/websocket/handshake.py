"""The opening handshake of WebSocket (RFC 6455, section 4), for both the server and the client side.

No extension is ever negotiated: a proxy that parses frames could forward none of them unchanged
(docs/websocket.md).
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
import re

Headers = list[tuple[bytes, bytes]]

ACCEPT_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
VERSION = b"13"
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,128}")
MAX_SUBPROTOCOLS = 32
# Handshake headers apply to one connection. They aren't forwarded; each side gets its own.
HANDSHAKE_HEADERS = frozenset(
    (
        b"sec-websocket-key",
        b"sec-websocket-version",
        b"sec-websocket-extensions",
        b"sec-websocket-protocol",
        b"sec-websocket-accept",
    )
)


class HandshakeError(Exception):
    """A client's handshake is rejected, with this status, reason and headers in the response."""

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.headers = headers or []


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header; `name` is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def list_elements(headers: Headers, name: bytes) -> list[bytes]:
    """Return the elements of a header whose value is a comma-separated list; `name` is in lower case."""
    return [
        part.strip() for value in header_values(headers, name) for part in value.split(b",") if part.strip()
    ]


def is_websocket_upgrade(headers: Headers) -> bool:
    """Whether the Upgrade header lists WebSocket, even if the handshake is invalid otherwise."""
    return b"websocket" in (part.lower() for part in list_elements(headers, b"upgrade"))


def accept_value(key: bytes) -> bytes:
    """Compute Sec-WebSocket-Accept for a key (section 4.2.2)."""
    return base64.b64encode(hashlib.sha1(key + ACCEPT_GUID, usedforsecurity=False).digest())


def new_key() -> bytes:
    """Return a random Sec-WebSocket-Key. Each attempt uses a new one."""
    return base64.b64encode(os.urandom(16))


def check_request(method: bytes, version: str, headers: Headers) -> tuple[bytes, tuple[bytes, ...]]:
    """Check a client's handshake request (section 4.2.1); return its key and the subprotocols that it offers.

    Raises HandshakeError.
    """
    if method != b"GET" or version != "1.1":
        raise HandshakeError(400, "a WebSocket handshake is a GET of HTTP/1.1")
    if b"upgrade" not in (part.lower() for part in list_elements(headers, b"connection")):
        raise HandshakeError(400, "Upgrade without Connection: Upgrade")
    # With a body, one side could read bytes as the body that the other side reads as frames.
    if header_values(headers, b"transfer-encoding") or header_values(headers, b"content-length") not in (
        [],
        [b"0"],
    ):
        raise HandshakeError(400, "a WebSocket handshake has no body")
    if header_values(headers, b"sec-websocket-version") != [VERSION]:
        raise HandshakeError(
            426,
            "only WebSocket version 13 is spoken",
            [(b"Sec-WebSocket-Version", VERSION), (b"Upgrade", b"websocket")],
        )
    keys = header_values(headers, b"sec-websocket-key")
    try:
        is_valid = len(keys) == 1 and len(base64.b64decode(keys[0], validate=True)) == 16
    except binascii.Error:
        is_valid = False
    if not is_valid:
        raise HandshakeError(400, "Sec-WebSocket-Key must be 16 bytes in base64")
    offered = tuple(list_elements(headers, b"sec-websocket-protocol"))
    if len(offered) > MAX_SUBPROTOCOLS or len(set(offered)) < len(offered):
        raise HandshakeError(400, "a subprotocol is offered twice, or too many are")
    if not all(TOKEN_PATTERN.fullmatch(name) for name in offered):
        raise HandshakeError(400, "a subprotocol is no token")
    return keys[0], offered


def check_origin(headers: Headers, allowed: frozenset[str]) -> None:
    """Check the Origin of a handshake; raises HandshakeError.

    Browsers let any page open a WebSocket, and send the user's cookies with it (section 10.2). If `allowed`
    is empty, every origin is accepted. A request without an Origin header doesn't come from a browser, and
    is accepted too.
    """
    for origin in header_values(headers, b"origin") if allowed else []:
        if origin.decode("latin-1").lower() not in allowed:
            raise HandshakeError(403, "this origin may not open sockets here")


def request_headers(key: bytes, subprotocols: tuple[bytes, ...]) -> Headers:
    """Build the headers of a handshake request to a server."""
    headers = [
        (b"Connection", b"Upgrade"),
        (b"Upgrade", b"websocket"),
        (b"Sec-WebSocket-Version", VERSION),
        (b"Sec-WebSocket-Key", key),
    ]
    if subprotocols:
        headers.append((b"Sec-WebSocket-Protocol", b", ".join(subprotocols)))
    return headers


def check_response(headers: Headers, key: bytes, offered: tuple[bytes, ...]) -> bytes:
    """Check the headers of a server's 101 response (section 4.1); return the subprotocol it chose, or b"".

    Raises ValueError.
    """
    if not is_websocket_upgrade(headers) or b"upgrade" not in [
        part.lower() for part in list_elements(headers, b"connection")
    ]:
        raise ValueError("no Upgrade to websocket")
    if header_values(headers, b"sec-websocket-accept") != [accept_value(key)]:
        raise ValueError("wrong Sec-WebSocket-Accept")
    if list_elements(headers, b"sec-websocket-extensions"):
        raise ValueError("an extension that was not offered")
    chosen = header_values(headers, b"sec-websocket-protocol")
    if len(chosen) > 1 or (chosen and chosen[0] not in offered):
        raise ValueError("more than one subprotocol, or one that was not offered")
    return chosen[0] if chosen else b""


def response_headers(key: bytes, subprotocol: bytes) -> Headers:
    """Build the headers of the 101 response to a client."""
    headers = [(b"Upgrade", b"websocket"), (b"Sec-WebSocket-Accept", accept_value(key))]
    if subprotocol:
        headers.append((b"Sec-WebSocket-Protocol", subprotocol))
    return headers
