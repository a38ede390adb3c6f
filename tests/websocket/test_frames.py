"""WebSocket frames: encoded frames are decoded by wsproto, and received ones arrive in pieces."""

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


def decode_in_pieces(codec: FrameCodec, data: bytes, size: int = 1 << 20) -> list[Frame | InvalidFrame]:
    decoded: list[Frame | InvalidFrame] = []
    for start in range(0, len(data), size):
        codec.feed(data[start : start + size])
        decoded += codec.frames()
    return decoded


@pytest.mark.parametrize("peer_is_server", [False, True])
@pytest.mark.parametrize(
    "length", [0, 1, 125, 126, MAX_INTEGER_XOR_BYTES, MAX_INTEGER_XOR_BYTES + 1, 65_535, 65_536, 100_001]
)
def test_wsproto_decodes_an_encoded_frame_of_any_length(peer_is_server: bool, length: int) -> None:
    payload = bytes(range(256)) * (length // 256 + 1)
    peer = FrameProtocol(client=not peer_is_server, extensions=[])
    peer.receive_bytes(FrameCodec(peer_is_server).message(payload[:length], False, True))
    assert [(each.opcode, each.payload, each.message_finished) for each in peer.received_frames()] == [
        (Opcode.BINARY, payload[:length], True)
    ]


def test_a_message_in_pieces_uses_continuation_frames_and_allows_control_frames_between() -> None:
    codec = FrameCodec(peer_is_server=True)
    peer = FrameProtocol(client=False, extensions=[])
    data = codec.message(b"a", True, False) + codec.ping(b"p") + codec.message(b"b", True, True)
    peer.receive_bytes(data + codec.pong(b"q") + codec.message(b"", False, True))
    decoded = [(each.opcode, each.payload) for each in peer.received_frames()]
    assert decoded == [
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
def test_a_close_frame_holds_its_code_and_a_reason_truncated_to_fit(
    code: int, reason: str, payload: tuple[int, str]
) -> None:
    peer = FrameProtocol(client=True, extensions=[])
    peer.receive_bytes(FrameCodec(peer_is_server=False).close(code, reason))
    assert [each.payload for each in peer.received_frames()] == [payload]


@given(st.binary(max_size=2000), st.binary(min_size=4, max_size=4))
def test_applying_a_mask_twice_restores_the_payload(payload: bytes, key: bytes) -> None:
    masked = apply_mask(payload, key)
    assert masked == bytes(byte ^ key[index % 4] for index, byte in enumerate(payload))
    assert apply_mask(masked, key) == payload


@given(st.text(max_size=200), st.integers(1, 7))
def test_text_received_in_pieces_of_any_size_is_split_between_characters(text: str, size: int) -> None:
    decoded = decode_in_pieces(
        FrameCodec(peer_is_server=False), frame(TEXT, text.encode(), masked=True), size
    )
    pieces = [each.payload for each in decoded if isinstance(each, Frame)]
    assert "".join(piece for piece in pieces if isinstance(piece, str)) == text
    assert isinstance(decoded[-1], Frame)
    assert decoded[-1].message_finished


def test_nothing_is_read_after_a_close_frame_or_an_invalid_frame() -> None:
    for last in (close_frame(masked=True), frame(TEXT, b"unmasked")):
        codec = FrameCodec(peer_is_server=False)
        assert len(decode_in_pieces(codec, last + frame(TEXT, b"after", masked=True))) == 1
        assert codec.ended
        assert decode_in_pieces(codec, b"x" * 100_000) == []


def test_an_invalid_frame_has_the_close_code() -> None:
    decoded = decode_in_pieces(FrameCodec(peer_is_server=False), frame(TEXT, b"\xff", masked=True))
    assert isinstance(decoded[0], InvalidFrame)
    assert decoded[0].code == 1007
