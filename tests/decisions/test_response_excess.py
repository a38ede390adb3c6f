"""Whether the bytes behind a response are the rest of its body."""

from __future__ import annotations

import json

import pytest

from plovertrail.decisions.response_excess import (
    REMAINDER_WAIT_US,
    is_remainder_of_body,
    looks_cut_off,
    remainder_wait_us,
)

RECEIPT = json.dumps({"title": "Ang Niño", "price": "₱150", "booked": True}, ensure_ascii=False).encode()
TEXT = b"one receipt for each of two readers"
BINARY = bytes(range(256))
NOISE = bytes(range(128, 176))


@pytest.mark.parametrize("length", range(len(RECEIPT)))
def test_a_document_that_is_cut_off_anywhere_has_its_rest_behind(length: int) -> None:
    assert is_remainder_of_body(RECEIPT[:length], RECEIPT[length:], chunked=False)


@pytest.mark.parametrize(
    "body", [TEXT, BINARY, RECEIPT + b"\n", RECEIPT + b"\r\n\r\n", b'{"a":1}\n{"b":2}\n']
)
@pytest.mark.parametrize("missing", [1, 2, 3, 7])
def test_other_bodies_that_are_cut_off_have_their_rest_behind(body: bytes, missing: int) -> None:
    assert is_remainder_of_body(body[:-missing], body[-missing:], chunked=False)


@pytest.mark.parametrize("body", [TEXT, BINARY, RECEIPT])
def test_a_length_of_0_cuts_off_the_whole_body(body: bytes) -> None:
    assert is_remainder_of_body(b"", body, chunked=False)


@pytest.mark.parametrize("behind", [b"5\r\nabcde\r\n0\r\n\r\n", b"0\r\n\r\n", b"\r\n1f;x=y\r\n", b"ab"])
def test_chunks_behind_the_last_chunk_are_the_rest(behind: bytes) -> None:
    assert is_remainder_of_body(TEXT, behind, chunked=True)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [b"", b"k", TEXT, BINARY, RECEIPT])
@pytest.mark.parametrize(
    "behind",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1",  # the rest of the copy has not come yet
        NOISE + b"\r\n\r\n",
        b"noise\r\n\r\n",
    ],
)
def test_a_second_message_is_no_rest_even_if_it_cannot_be_read(
    behind: bytes, body: bytes, chunked: bool
) -> None:
    assert not is_remainder_of_body(body, behind, chunked)


@pytest.mark.parametrize("body", [TEXT, RECEIPT])
def test_noise_behind_text_is_no_rest(body: bytes) -> None:
    assert not is_remainder_of_body(body, NOISE, chunked=False)


@pytest.mark.parametrize("behind", [b"noise", NOISE, b"{" + NOISE, b" ," + NOISE, b"\r\n\x00"])
def test_what_follows_a_whole_document_is_no_rest(behind: bytes) -> None:
    assert not is_remainder_of_body(RECEIPT, behind, chunked=False)


def test_text_whose_last_character_has_come_in_part_is_text() -> None:
    whole = "one receipt for Niño".encode()
    assert is_remainder_of_body(TEXT, whole[: whole.index(b"\xb1")], chunked=False)


@pytest.mark.parametrize("length", range(1, len(RECEIPT)))
def test_a_document_that_is_cut_off_anywhere_shows_it(length: int) -> None:
    assert looks_cut_off(RECEIPT[:length], is_json=False)


def test_a_document_that_is_cut_off_behind_a_bracket_within_a_text_shows_it() -> None:
    assert looks_cut_off(b'{"a": "}', is_json=False)


def test_text_that_ends_within_a_character_is_cut_off() -> None:
    text = "paid: ₱".encode()
    assert looks_cut_off(text[:-1], is_json=False)
    assert looks_cut_off(text[:-2], is_json=False)


def test_nothing_is_no_json() -> None:
    assert looks_cut_off(b"", is_json=True)


@pytest.mark.parametrize(
    "body",
    [
        RECEIPT,
        RECEIPT + b"\r\n",
        b"[]",
        b'{"a": "}"}',
        b'[{"a": "[{"}]',
        b'{"a": "\\"}"}',
        b'{"a": "\\\\"}',
        b"{name}",
    ],
)
def test_a_whole_document_does_not_look_cut_off(body: bytes) -> None:
    assert not looks_cut_off(body, is_json=True)


@pytest.mark.parametrize("body", [b"", b"done", "paid: ₱".encode(), TEXT, BINARY, NOISE, b"\x00\xe2"])
def test_other_bodies_show_nothing(body: bytes) -> None:
    assert not looks_cut_off(body, is_json=False)


def test_the_wait_for_a_remainder_leaves_half_of_the_time_of_its_attempt() -> None:
    assert remainder_wait_us(1_000, 0) == REMAINDER_WAIT_US
    assert remainder_wait_us(10_000, 1_000_000) == REMAINDER_WAIT_US
    assert remainder_wait_us(90_000, 100_000) == 5_000
    assert remainder_wait_us(200_000, 100_000) == 0
