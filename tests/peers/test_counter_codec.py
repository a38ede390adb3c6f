"""Datagrams of shared counts: what is written is read, and nothing else is taken."""

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
KEY, OTHER = b"k" * 32, b"o" * 32
ME = digest("127.0.0.1:7400")
Rows = list[tuple[int, int, list[int]]]


def codec(*keys: bytes, fleet: str = "shop", window: CountingWindow = WINDOW) -> CounterCodec:
    return CounterCodec(fleet, keys or (KEY,), window)


def encoded(by: CounterCodec, rows: list[bytes] | None = None, to: bytes = ME) -> bytes:
    return by.encode(to, CounterMessage("a", 77, 5, 1_234, ()), rows or [])


def reason_if_dropped(reader: CounterCodec, datagram: bytes) -> DropReason | None:
    try:
        reader.decode(datagram, ME)
    except BadDatagramError as error:
        return error.reason
    return None


def drop_reason(data: bytes, reader: CounterCodec | None = None) -> DropReason:
    with pytest.raises(BadDatagramError) as caught:
        (reader or codec()).decode(data, ME)
    return caught.value.reason


counts = st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=WINDOW.slots)
rows = st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**40), counts), max_size=8)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(rows)
def test_a_message_decodes_to_what_was_encoded(found: Rows) -> None:
    plain = [(key, newest, tuple(each)) for key, newest, each in found]
    message = codec().decode(encoded(codec(), [encode_row(row) for row in plain]), ME)
    assert list(message.rows) == plain
    assert (message.name, message.incarnation, message.sequence, message.sent_us) == ("a", 77, 5, 1_234)


def test_each_foreign_datagram_has_its_drop_reason() -> None:
    good = encoded(codec())
    for garbage in (b"", good[: PREFIX.size], b"x" * 200, good + b"x" * MAX_DATAGRAM_BYTES):
        assert drop_reason(garbage) is DropReason.MALFORMED
    assert drop_reason(good[:2] + b"\x09" + good[3:]) is DropReason.OTHER_VERSION
    assert drop_reason(encoded(codec(fleet="stage"))) is DropReason.OTHER_FLEET
    assert drop_reason(encoded(codec(OTHER))) is DropReason.UNKNOWN_KEY
    assert drop_reason(good[:-1] + bytes([good[-1] ^ 1])) is DropReason.FORGED
    assert drop_reason(encoded(codec(), to=digest("127.0.0.1:7401"))) is DropReason.OTHER_RECEIVER
    assert drop_reason(encoded(codec(window=CountingWindow(5_000_000, 20)))) is DropReason.OTHER_WINDOW


def test_a_datagram_that_is_changed_or_cut_anywhere_is_not_taken() -> None:
    good = encoded(codec(), [encode_row((key_of("x"), 9, (1, 2, 300)))])
    for at in range(len(good)):
        changed = bytearray(good)
        changed[at] ^= 0x10
        assert drop_reason(bytes(changed)) is not None
        assert drop_reason(good[:at]) is not None


def test_a_key_is_changed_with_the_old_one_good_for_a_while() -> None:
    before, between, after = codec(KEY), codec(OTHER, KEY), codec(OTHER)
    for sender, receiver in ((before, between), (between, between), (between, after)):
        assert receiver.decode(encoded(sender), ME)
    assert codec(KEY, OTHER).decode(encoded(codec(OTHER)), ME)
    assert drop_reason(encoded(before), after) is DropReason.UNKNOWN_KEY


def test_signed_nonsense_is_garbage_and_raises_nothing_else() -> None:
    """Whoever has the key may still be broken."""
    rng, mine = random.Random(1), codec()
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
        datagram = mine.envelope.seal(1, ME, name + body)
        assert reason_if_dropped(mine, datagram) in (None, DropReason.MALFORMED)
    bad_name = HEADER.pack(1, 1, 1, WINDOW.bucket_us, 20, 1) + b"\xff\0\0"
    assert drop_reason(mine.envelope.seal(1, ME, bad_name)) is DropReason.MALFORMED
    assert drop_reason(mine.envelope.seal(1, ME, b"short")) is DropReason.MALFORMED
