"""Datagrams of shared counters: the round trip, and dropping what is invalid or meant for others."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow, key_of
from plovertrail.peers.counter_codec import HEADER, CounterCodec, encode_row
from plovertrail.peers.envelope import MAX_DATAGRAM_BYTES, PREFIX, BadDatagramError, DropReason, digest

WINDOW = CountingWindow(10_000_000, 20)
KEY, OTHER_KEY = b"k" * 32, b"o" * 32
OWN_ADDRESS = digest("127.0.0.1:7400")
Rows = list[tuple[int, int, list[int]]]


def codec(*keys: bytes, fleet: str = "shop", window: CountingWindow = WINDOW) -> CounterCodec:
    return CounterCodec(fleet, keys or (KEY,), window)


def encoded(by: CounterCodec, rows: list[bytes] | None = None, to: bytes = OWN_ADDRESS) -> bytes:
    return by.encode(to, CounterMessage("a", 77, 5, 1_234, ()), rows or [])


def drop_reason_or_none(reader: CounterCodec, datagram: bytes) -> DropReason | None:
    try:
        reader.decode(datagram, OWN_ADDRESS)
    except BadDatagramError as error:
        return error.reason
    return None


def drop_reason(data: bytes, reader: CounterCodec | None = None) -> DropReason:
    with pytest.raises(BadDatagramError) as caught:
        (reader or codec()).decode(data, OWN_ADDRESS)
    return caught.value.reason


counts = st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=WINDOW.slots)
rows = st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**40), counts), max_size=8)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(rows)
def test_a_message_decodes_to_what_was_encoded(found: Rows) -> None:
    plain = [(key, newest, tuple(each)) for key, newest, each in found]
    message = codec().decode(encoded(codec(), [encode_row(row) for row in plain]), OWN_ADDRESS)
    assert list(message.rows) == plain
    assert (message.name, message.incarnation, message.sequence, message.sent_us) == ("a", 77, 5, 1_234)


def test_each_kind_of_invalid_datagram_has_its_drop_reason() -> None:
    good = encoded(codec())
    for garbage in (b"", good[: PREFIX.size], b"x" * 200, good + b"x" * MAX_DATAGRAM_BYTES):
        assert drop_reason(garbage) is DropReason.MALFORMED
    assert drop_reason(good[:2] + b"\x09" + good[3:]) is DropReason.OTHER_VERSION
    assert drop_reason(encoded(codec(fleet="stage"))) is DropReason.OTHER_FLEET
    assert drop_reason(encoded(codec(OTHER_KEY))) is DropReason.UNKNOWN_KEY
    assert drop_reason(good[:-1] + bytes([good[-1] ^ 1])) is DropReason.FORGED
    assert drop_reason(encoded(codec(), to=digest("127.0.0.1:7401"))) is DropReason.OTHER_RECEIVER
    assert drop_reason(encoded(codec(window=CountingWindow(5_000_000, 20)))) is DropReason.OTHER_WINDOW


def test_a_datagram_that_is_changed_or_cut_off_anywhere_is_dropped() -> None:
    good = encoded(codec(), [encode_row((key_of("x"), 9, (1, 2, 300)))])
    for at in range(len(good)):
        changed = bytearray(good)
        changed[at] ^= 0x10
        assert drop_reason(bytes(changed)) is not None
        assert drop_reason(good[:at]) is not None


def test_a_key_can_be_rotated_while_the_old_one_is_still_accepted() -> None:
    before, between, after = codec(KEY), codec(OTHER_KEY, KEY), codec(OTHER_KEY)
    for sender, receiver in ((before, between), (between, between), (between, after)):
        assert receiver.decode(encoded(sender), OWN_ADDRESS)
    assert codec(KEY, OTHER_KEY).decode(encoded(codec(OTHER_KEY)), OWN_ADDRESS)
    assert drop_reason(encoded(before), after) is DropReason.UNKNOWN_KEY


def test_a_signed_malformed_body_is_dropped() -> None:
    """A sender that has the key may still be faulty."""
    rng, receiver = random.Random(1), codec()
    name = HEADER.pack(1, 1, 1, WINDOW.bucket_us, 20, 1) + b"a"
    bodies = [
        struct.pack(">H", 3),
        struct.pack(">H", 60_000),
        struct.pack(">H", 1) + b"k" * 8 + b"\xff" * 12,
        struct.pack(">H", 1) + b"k" * 8 + b"\x00\x00",
        struct.pack(">H", 1) + b"k" * 8 + b"\x00\x7f",
        struct.pack(">H", 0) + b"more",
    ]
    bodies += [rng.randbytes(rng.randrange(2, 300)) for _ in range(500)]
    for body in bodies:
        datagram = receiver.envelope.seal(1, OWN_ADDRESS, name + body)
        assert drop_reason_or_none(receiver, datagram) in (None, DropReason.MALFORMED)
    bad_name = HEADER.pack(1, 1, 1, WINDOW.bucket_us, 20, 1) + b"\xff\0\0"
    assert drop_reason(receiver.envelope.seal(1, OWN_ADDRESS, bad_name)) is DropReason.MALFORMED
    assert drop_reason(receiver.envelope.seal(1, OWN_ADDRESS, b"short")) is DropReason.MALFORMED
