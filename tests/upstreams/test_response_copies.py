"""Whether the bytes behind a response are copies of it, or may be the rest of its body."""

from __future__ import annotations

import json

import pytest

from plovertrail.upstreams.response_copies import BytesBehind, classify_bytes_behind
from plovertrail.upstreams.response_reader import ResponseReader, ResponseRules

RECEIPT = json.dumps({"title": "Ang Niño", "price": "₱150", "booked": True}, ensure_ascii=False).encode()
TEXT = b"one receipt for each of two readers"
LINES = b"receipt 9\r\ncoins 50\r\nthank you for reading\r\n\r\n"
BINARY = bytes(range(256))
NOISE = bytes(range(128, 176))
A_MESSAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BODIES = [
    RECEIPT,
    RECEIPT + b"\n",
    TEXT,
    LINES,
    BINARY,
    BINARY * 200,
    b'{"a":1}\n{"b":2}\n',
    b"see " + A_MESSAGE,
]


def with_length(body: bytes, length: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body)


def chunked(*chunks: bytes) -> bytes:
    parts = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + parts + b"0\r\n\r\n"


def behind(data: bytes) -> BytesBehind:
    """What stands behind the first response of these bytes."""
    reader = ResponseReader(ResponseRules(), head_only=False, awaits_upgrade=False)
    reader.feed(data)
    assert reader.complete
    return classify_bytes_behind(reader)


# Guards against a body that is served cut off, as its rest looks like something else than the rest of a body.
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("missing", [1, 2, 3, 7, 40, None])
def test_the_rest_of_a_body_is_no_copy(body: bytes, missing: int | None) -> None:
    response = with_length(body, len(body) - missing if missing and missing < len(body) else 0)
    assert behind(response) is BytesBehind.OTHER
    assert behind(2 * response) is BytesBehind.OTHER


def test_a_rest_that_begins_like_a_message_is_no_copy() -> None:
    for length in range(len(A_MESSAGE) + 1):
        rest = A_MESSAGE[:length] + b" is what it said\r\n\r\n"
        assert behind(with_length(TEXT + rest, len(TEXT))) is not BytesBehind.COPIES


@pytest.mark.parametrize(
    "rest",
    [b"5\r\nabcde\r\n0\r\n\r\n", b"0\r\n\r\n", b"\r\n1f;x=y\r\n", b"ab", b"\r\n", b"noise\r\n\r\n", NOISE],
)
@pytest.mark.parametrize("response", [chunked(TEXT), chunked(), with_length(TEXT, len(TEXT))])
def test_what_is_no_copy_may_be_the_rest(rest: bytes, response: bytes) -> None:
    assert behind(response + rest) is BytesBehind.OTHER


@pytest.mark.parametrize(
    "other",
    [with_length(TEXT, len(TEXT)), A_MESSAGE.replace(b"200 OK", b"500 No"), b"HTTP/1.1 200 OK\r\n\r\nok"],
)
def test_another_message_is_no_copy(other: bytes) -> None:
    assert behind(A_MESSAGE + other) is not BytesBehind.COPIES


# Guards against good responses that fail because their endpoints send them twice.
@pytest.mark.parametrize(
    "response", [with_length(body, len(body)) for body in BODIES] + [chunked(TEXT, b"end")]
)
@pytest.mark.parametrize("count", [1, 2])
def test_copies_are_told_however_they_are_framed(response: bytes, count: int) -> None:
    assert behind(response + count * response) is BytesBehind.COPIES


@pytest.mark.parametrize("response", [with_length(TEXT, len(TEXT)), chunked(TEXT)])
def test_part_of_a_copy_is_told_at_each_byte(response: bytes) -> None:
    for length in range(1, len(response)):
        assert behind(response + response[:length]) is BytesBehind.PART_OF_COPY
        assert behind(2 * response + response[:length]) is BytesBehind.PART_OF_COPY
