"""The opening handshake, both sides: what is right, and each way to be wrong."""

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
GOOD: Headers = [
    (b"Host", b"a"),
    (b"Connection", b"keep-alive, Upgrade"),
    (b"Upgrade", b"WebSocket"),
    (b"Sec-WebSocket-Version", b"13"),
    (b"Sec-WebSocket-Key", KEY),
    (b"Sec-WebSocket-Protocol", b"live, quiet"),
]


def changed(name: bytes, *values: bytes) -> Headers:
    return [pair for pair in GOOD if pair[0] != name] + [(name, value) for value in values]


def test_the_example_of_the_rfc() -> None:
    assert accept_value(KEY) == b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo="


def test_a_good_handshake_gives_its_key_and_what_it_offers() -> None:
    assert check_request(b"GET", "1.1", GOOD) == (KEY, (b"live", b"quiet"))
    assert is_websocket_upgrade(GOOD)
    assert not is_websocket_upgrade([(b"Upgrade", b"h2c, foo")])


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        (changed(b"Connection", b"close"), 400),
        (changed(b"Sec-WebSocket-Version", b"8"), 426),
        (changed(b"Sec-WebSocket-Version"), 426),
        (changed(b"Sec-WebSocket-Version", b"13", b"8"), 426),
        (changed(b"Sec-WebSocket-Key"), 400),
        (changed(b"Sec-WebSocket-Key", b"c2hvcnQ="), 400),
        (changed(b"Sec-WebSocket-Key", b"not base64!!!!!!!!!!!!!!"), 400),
        (changed(b"Sec-WebSocket-Key", KEY, KEY), 400),
        (changed(b"Sec-WebSocket-Protocol", b"a, a"), 400),
        (changed(b"Sec-WebSocket-Protocol", b"a b"), 400),
        (changed(b"Sec-WebSocket-Protocol", b", ".join(b"p%d" % n for n in range(40))), 400),
        (changed(b"Content-Length", b"5"), 400),
        (changed(b"Content-Length", b"0", b"0"), 400),
        (changed(b"Transfer-Encoding", b"chunked"), 400),
    ],
)
def test_each_fault_of_a_client_has_its_status(headers: Headers, status: int) -> None:
    with pytest.raises(HandshakeError) as caught:
        check_request(b"GET", "1.1", headers)
    assert caught.value.status == status
    if status == 426:
        assert (b"Sec-WebSocket-Version", b"13") in caught.value.headers


@pytest.mark.parametrize(("method", "version"), [(b"POST", "1.1"), (b"GET", "1.0")])
def test_only_a_get_of_http_1_1_opens_a_socket(method: bytes, version: str) -> None:
    with pytest.raises(HandshakeError):
        check_request(method, version, GOOD)


def test_origins() -> None:
    allowed = frozenset(("https://shop.example",))
    check_origin([(b"Origin", b"https://SHOP.example")], allowed)
    check_origin([], allowed)
    check_origin([(b"Origin", b"https://other.example")], frozenset())
    for origin in (b"https://other.example", b"null", b"http://shop.example"):
        with pytest.raises(HandshakeError) as caught:
            check_origin([(b"Origin", origin)], allowed)
        assert caught.value.status == 403


def test_what_we_ask_is_what_we_would_take_and_what_we_answer_as_well() -> None:
    key = new_key()
    headers = request_headers(key, (b"live",))
    assert check_request(b"GET", "1.1", headers) == (key, (b"live",))
    assert new_key() != key
    answer = [(b"Connection", b"Upgrade"), *response_headers(key, b"live")]
    assert check_response(answer, key, (b"live",)) == b"live"
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
def test_each_fault_of_a_server_is_told(drop: bytes, add: Headers) -> None:
    good = [(b"Connection", b"Upgrade"), *response_headers(KEY, b"")]
    assert check_response(good, KEY, (b"live",)) == b""
    with pytest.raises(ValueError):
        check_response([pair for pair in good if pair[0] != drop] + add, KEY, (b"live",))
