"""Datagrams of shared counts: what is written is read, and nothing else is taken."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.counter_rows import CountingWindow, key_of
from plovertrail.peers.envelope import MAX_DATAGRAM_BYTES, PREFIX, BadDatagramError, DropReason, digest
from plovertrail.peers.wire import HEAD, Codec, row_bytes

WINDOW = CountingWindow(10_000_000, 20)
KEY, OTHER = b"k" * 32, b"o" * 32
ME = digest("127.0.0.1:7400")
Rows = list[tuple[int, int, list[int]]]


def codec(*keys: bytes, fleet: str = "shop", window: CountingWindow = WINDOW) -> Codec:
    return Codec(fleet, keys or (KEY,), window)


def written(by: Codec, rows: list[bytes] | None = None, to: bytes = ME) -> bytes:
    return by.write(to, "a", 77, 5, 1_234, rows or [])


def why(data: bytes, reader: Codec | None = None) -> DropReason:
    with pytest.raises(BadDatagramError) as caught:
        (reader or codec()).read(data, ME)
    return caught.value.reason


counts = st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=WINDOW.slots)
rows = st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**40), counts), max_size=8)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(rows)
def test_what_is_written_is_read(found: Rows) -> None:
    plain = [(key, newest, tuple(each)) for key, newest, each in found]
    message = codec().read(written(codec(), [row_bytes(row) for row in plain]), ME)
    assert list(message.rows) == plain
    assert (message.name, message.incarnation, message.sequence, message.sent_us) == ("a", 77, 5, 1_234)


def test_what_is_not_ours_is_told_apart() -> None:
    good = written(codec())
    for garbage in (b"", good[: PREFIX.size], b"x" * 200, good + b"x" * MAX_DATAGRAM_BYTES):
        assert why(garbage) is DropReason.MALFORMED
    assert why(good[:2] + b"\x09" + good[3:]) is DropReason.OTHER_VERSION
    assert why(written(codec(fleet="stage"))) is DropReason.OTHER_FLEET
    assert why(written(codec(OTHER))) is DropReason.UNKNOWN_KEY
    assert why(good[:-1] + bytes([good[-1] ^ 1])) is DropReason.FORGED
    assert why(written(codec(), to=digest("127.0.0.1:7401"))) is DropReason.OTHER_RECEIVER
    assert why(written(codec(window=CountingWindow(5_000_000, 20)))) is DropReason.OTHER_WINDOW


def test_a_datagram_that_is_changed_or_cut_anywhere_is_not_taken() -> None:
    good = written(codec(), [row_bytes((key_of("x"), 9, (1, 2, 300)))])
    for at in range(len(good)):
        changed = bytearray(good)
        changed[at] ^= 0x10
        assert why(bytes(changed)) is not None
        assert why(good[:at]) is not None


def test_a_key_is_changed_with_the_old_one_good_for_a_while() -> None:
    before, between, after = codec(KEY), codec(OTHER, KEY), codec(OTHER)
    for sender, receiver in ((before, between), (between, between), (between, after)):
        assert receiver.read(written(sender), ME)
    assert codec(KEY, OTHER).read(written(codec(OTHER)), ME)
    assert why(written(before), after) is DropReason.UNKNOWN_KEY


def test_signed_nonsense_is_garbage_and_raises_nothing_else() -> None:
    """Whoever has the key may still be broken."""
    rng, mine = random.Random(1), codec()
    name = HEAD.pack(1, 1, 1, WINDOW.bucket_us, 20, 1) + b"a"
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
        try:
            mine.read(mine.envelope.seal(1, ME, name + body), ME)
        except BadDatagramError as error:
            assert error.reason is DropReason.MALFORMED
    bad_name = HEAD.pack(1, 1, 1, WINDOW.bucket_us, 20, 1) + b"\xff\0\0"
    assert why(mine.envelope.seal(1, ME, bad_name)) is DropReason.MALFORMED
    assert why(mine.envelope.seal(1, ME, b"short")) is DropReason.MALFORMED
