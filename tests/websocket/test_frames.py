"""Frames that we write are what a peer's own parser reads; what we read comes piece by piece."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wsproto.frame_protocol import FrameProtocol

from fakes.frames import TEXT, close_frame, frame
from plovertrail.websocket.frames import (
    MAX_INTEGER_XOR_BYTES,
    Frame,
    FrameCodec,
    InvalidFrame,
    Opcode,
    apply_mask,
)


def read(framing: FrameCodec, data: bytes, size: int = 1 << 20) -> list[Frame | InvalidFrame]:
    found: list[Frame | InvalidFrame] = []
    for at in range(0, len(data), size):
        framing.feed(data[at : at + size])
        found += framing.frames()
    return found


@pytest.mark.parametrize("peer_is_server", [False, True])
@pytest.mark.parametrize(
    "length", [0, 1, 125, 126, MAX_INTEGER_XOR_BYTES, MAX_INTEGER_XOR_BYTES + 1, 65_535, 65_536, 100_001]
)
def test_a_frame_of_any_length_is_read_by_the_librarys_parser(peer_is_server: bool, length: int) -> None:
    payload = bytes(range(256)) * (length // 256 + 1)
    peer = FrameProtocol(client=not peer_is_server, extensions=[])
    peer.receive_bytes(FrameCodec(peer_is_server).message(payload[:length], False, True))
    assert [(got.opcode, got.payload, got.message_finished) for got in peer.received_frames()] == [
        (Opcode.BINARY, payload[:length], True)
    ]


def test_pieces_are_continuations_and_control_frames_may_come_between() -> None:
    framing = FrameCodec(peer_is_server=True)
    peer = FrameProtocol(client=False, extensions=[])
    data = framing.message(b"a", True, False) + framing.ping(b"p") + framing.message(b"b", True, True)
    peer.receive_bytes(data + framing.pong(b"q") + framing.message(b"", False, True))
    found = [(got.opcode, got.payload) for got in peer.received_frames()]
    assert found == [
        (Opcode.TEXT, "a"),
        (Opcode.PING, b"p"),
        (Opcode.TEXT, "b"),
        (Opcode.PONG, b"q"),
        (Opcode.BINARY, b""),
    ]


@pytest.mark.parametrize(
    ("code", "reason", "payload"),
    [(1000, "bye", (1000, "bye")), (1005, "unsaid", (1005, "")), (1012, "ä" * 100, (1012, "ä" * 61))],
)
def test_a_close_frame_holds_its_code_and_as_much_reason_as_fits(
    code: int, reason: str, payload: tuple[int, str]
) -> None:
    peer = FrameProtocol(client=True, extensions=[])
    peer.receive_bytes(FrameCodec(peer_is_server=False).close(code, reason))
    assert [got.payload for got in peer.received_frames()] == [payload]


@given(st.binary(max_size=2000), st.binary(min_size=4, max_size=4))
def test_a_mask_is_taken_off_by_itself(payload: bytes, key: bytes) -> None:
    hidden = apply_mask(payload, key)
    assert hidden == bytes(byte ^ key[place % 4] for place, byte in enumerate(payload))
    assert apply_mask(hidden, key) == payload


@given(st.text(max_size=200), st.integers(1, 7))
def test_a_text_read_in_any_pieces_is_whole_characters(text: str, size: int) -> None:
    found = read(FrameCodec(peer_is_server=False), frame(TEXT, text.encode(), masked=True), size)
    pieces = [got.payload for got in found if isinstance(got, Frame)]
    assert "".join(piece for piece in pieces if isinstance(piece, str)) == text
    assert isinstance(found[-1], Frame)
    assert found[-1].message_finished


def test_nothing_is_read_or_held_behind_a_close_or_a_fault() -> None:
    for last in (close_frame(masked=True), frame(TEXT, b"unmasked")):
        framing = FrameCodec(peer_is_server=False)
        assert len(read(framing, last + frame(TEXT, b"after", masked=True))) == 1
        assert framing.ended
        assert read(framing, b"x" * 100_000) == []


def test_a_fault_tells_its_code() -> None:
    found = read(FrameCodec(peer_is_server=False), frame(TEXT, b"\xff", masked=True))
    assert isinstance(found[0], InvalidFrame)
    assert found[0].code == 1007
