"""Whether a body looks cut off, and for how long its rest is awaited."""

from __future__ import annotations

import json

import pytest

from plovertrail.decisions.response_excess import (
    REMAINDER_WAIT_US,
    looks_cut_off,
    remainder_wait_us,
)

RECEIPT = json.dumps({"title": "Ang Niño", "price": "₱150", "booked": True}, ensure_ascii=False).encode()
TEXT = b"one receipt for each of two readers"
BINARY = bytes(range(256))
NOISE = bytes(range(128, 176))


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
