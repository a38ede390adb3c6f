"""The opening handshake: valid and invalid requests and responses."""

from __future__ import annotations

import pytest

from plovertrail.websocket.handshake import (
    HandshakeError,
    Headers,
    accept_value,
    check_origin,
    check_request,
    check_response,
    is_websocket_upgrade,
    new_key,
    request_headers,
    response_headers,
)

KEY = b"dGhlIHNhbXBsZSBub25jZQ=="  # RFC 6455, section 1.3
VALID_REQUEST: Headers = [
    (b"Host", b"a"),
    (b"Connection", b"keep-alive, Upgrade"),
    (b"Upgrade", b"WebSocket"),
    (b"Sec-WebSocket-Version", b"13"),
    (b"Sec-WebSocket-Key", KEY),
    (b"Sec-WebSocket-Protocol", b"live, quiet"),
]


def with_header(name: bytes, *values: bytes) -> Headers:
    return [pair for pair in VALID_REQUEST if pair[0] != name] + [(name, value) for value in values]


def test_accept_value_matches_the_example_of_rfc_6455() -> None:
    assert accept_value(KEY) == b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo="


def test_a_valid_request_yields_its_key_and_the_offered_subprotocols() -> None:
    assert check_request(b"GET", "1.1", VALID_REQUEST) == (KEY, (b"live", b"quiet"))
    assert is_websocket_upgrade(VALID_REQUEST)
    assert not is_websocket_upgrade([(b"Upgrade", b"h2c, foo")])


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        (with_header(b"Connection", b"close"), 400),
        (with_header(b"Sec-WebSocket-Version", b"8"), 426),
        (with_header(b"Sec-WebSocket-Version"), 426),
        (with_header(b"Sec-WebSocket-Version", b"13", b"8"), 426),
        (with_header(b"Sec-WebSocket-Key"), 400),
        (with_header(b"Sec-WebSocket-Key", b"c2hvcnQ="), 400),
        (with_header(b"Sec-WebSocket-Key", b"not base64!!!!!!!!!!!!!!"), 400),
        (with_header(b"Sec-WebSocket-Key", KEY, KEY), 400),
        (with_header(b"Sec-WebSocket-Protocol", b"a, a"), 400),
        (with_header(b"Sec-WebSocket-Protocol", b"a b"), 400),
        (with_header(b"Sec-WebSocket-Protocol", b", ".join(b"p%d" % n for n in range(40))), 400),
        (with_header(b"Content-Length", b"5"), 400),
        (with_header(b"Content-Length", b"0", b"0"), 400),
        (with_header(b"Transfer-Encoding", b"chunked"), 400),
    ],
)
def test_an_invalid_request_is_rejected_with_the_status_of_its_fault(headers: Headers, status: int) -> None:
    with pytest.raises(HandshakeError) as raised:
        check_request(b"GET", "1.1", headers)
    assert raised.value.status == status
    if status == 426:
        assert (b"Sec-WebSocket-Version", b"13") in raised.value.headers


@pytest.mark.parametrize(("method", "version"), [(b"POST", "1.1"), (b"GET", "1.0")])
def test_a_request_must_be_a_get_of_http_1_1(method: bytes, version: str) -> None:
    with pytest.raises(HandshakeError):
        check_request(method, version, VALID_REQUEST)


def test_only_allowed_origins_are_accepted() -> None:
    allowed = frozenset(("https://shop.example",))
    check_origin([(b"Origin", b"https://SHOP.example")], allowed)
    check_origin([], allowed)
    check_origin([(b"Origin", b"https://other.example")], frozenset())
    for origin in (b"https://other.example", b"null", b"http://shop.example"):
        with pytest.raises(HandshakeError) as raised:
            check_origin([(b"Origin", origin)], allowed)
        assert raised.value.status == 403


def test_built_requests_and_responses_pass_the_checks() -> None:
    key = new_key()
    headers = request_headers(key, (b"live",))
    assert check_request(b"GET", "1.1", headers) == (key, (b"live",))
    assert new_key() != key
    response = [(b"Connection", b"Upgrade"), *response_headers(key, b"live")]
    assert check_response(response, key, (b"live",)) == b"live"
    assert check_response([(b"Connection", b"Upgrade"), *response_headers(key, b"")], key, ()) == b""


@pytest.mark.parametrize(
    ("drop", "add"),
    [
        (b"Upgrade", []),
        (b"Connection", []),
        (b"Sec-WebSocket-Accept", []),
        (b"Sec-WebSocket-Accept", [(b"Sec-WebSocket-Accept", accept_value(b"another"))]),
        (b"", [(b"Sec-WebSocket-Accept", accept_value(KEY))]),
        (b"", [(b"Sec-WebSocket-Extensions", b"permessage-deflate")]),
        (b"", [(b"Sec-WebSocket-Protocol", b"unasked")]),
        (b"", [(b"Sec-WebSocket-Protocol", b"live"), (b"Sec-WebSocket-Protocol", b"live")]),
    ],
)
def test_an_invalid_response_is_rejected(drop: bytes, add: Headers) -> None:
    valid = [(b"Connection", b"Upgrade"), *response_headers(KEY, b"")]
    assert check_response(valid, KEY, (b"live",)) == b""
    with pytest.raises(ValueError):
        check_response([pair for pair in valid if pair[0] != drop] + add, KEY, (b"live",))
