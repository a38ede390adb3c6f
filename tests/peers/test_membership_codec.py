"""Datagrams between members: the round trip, size limits, and malformed bodies."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.health_evidence import HealthReport
from plovertrail.decisions.membership import MemberRecord, MemberState, MessageKind
from plovertrail.peers.envelope import MAX_DATAGRAM_BYTES, BadDatagramError, DropReason, digest
from plovertrail.peers.membership_codec import (
    HEADER,
    MAX_RECORDS,
    VERSION,
    MembershipCodec,
    MembershipDatagram,
    encode_record,
)

KEY = b"0123456789abcdef"
OWN_ADDRESS = digest("127.0.0.1:7400")
OWN_ADDRESSES = frozenset({OWN_ADDRESS})
ports = st.integers(0, 65_535)
records = st.builds(
    MemberRecord,
    st.text(min_size=1, max_size=12),
    st.tuples(st.just("10.1.2.3"), ports),
    st.integers(0, 2**62),
    st.sampled_from(list(MemberState)),
    st.text(max_size=8),
)
parts = st.integers(0, 400).map(lambda sixteenths: sixteenths / 16)
ages = st.integers(0, 3_000).map(lambda age: age * 10_000)
keys = st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**32 - 1))
reports = st.builds(
    HealthReport,
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**63),
    keys,
    parts,
    parts,
    parts,
    parts,
    ages,
    ages,
)


@settings(max_examples=150, deadline=None)
@given(
    st.builds(
        MembershipDatagram,
        st.sampled_from(list(MessageKind)),
        st.integers(0, 2**64 - 1),
        records,
        st.booleans(),
        st.text(max_size=12),
        st.tuples(st.just("10.9.8.7"), ports),
        st.lists(records, max_size=6).map(tuple),
        st.lists(reports, max_size=8).map(tuple),
    )
)
def test_a_datagram_decodes_to_what_was_encoded(datagram: MembershipDatagram) -> None:
    codec = MembershipCodec("fleet", [KEY])
    assert codec.decode(codec.encode(OWN_ADDRESS, datagram), OWN_ADDRESSES) == datagram


def test_a_long_zone_is_cut_between_characters() -> None:
    codec = MembershipCodec("fleet", [KEY])
    sender = MemberRecord("n", ("10.0.0.1", 1), 1, MemberState.ALIVE, "a" + "é" * 31)
    assert (
        codec.decode(
            codec.encode(OWN_ADDRESS, MembershipDatagram(MessageKind.PING, 1, sender)), OWN_ADDRESSES
        ).sender.zone
        == "a" + "é" * 15
    )


def test_records_fill_a_datagram_before_reports() -> None:
    codec = MembershipCodec("fleet", [KEY])
    many = tuple(
        MemberRecord("n" * 60, ("10.0.0.1", number), 1, MemberState.ALIVE, "z" * 32) for number in range(40)
    )
    health_reports = tuple(HealthReport(number, 1, (1, 1), 2.0, 1.0, 0.0, 0.0, 0) for number in range(90))
    data = codec.encode(
        OWN_ADDRESS, MembershipDatagram(MessageKind.GOSSIP, 0, many[0], records=many, reports=health_reports)
    )
    found = codec.decode(data, OWN_ADDRESSES)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert 5 < len(found.records) < MAX_RECORDS
    assert found.records == many[: len(found.records)]
    plain = MembershipDatagram(MessageKind.GOSSIP, 0, many[0], reports=health_reports)
    found = codec.decode(codec.encode(OWN_ADDRESS, plain), OWN_ADDRESSES)
    assert codec.room_for_reports(plain) <= len(found.reports) <= codec.room_for_reports(plain) + 1
    assert len(found.reports) > 20


def drop_reason(codec: MembershipCodec, body: bytes) -> DropReason | None:
    try:
        codec.decode(codec.envelope.seal(VERSION, OWN_ADDRESS, body), OWN_ADDRESSES)
    except BadDatagramError as error:
        return error.reason
    return None


def test_a_signed_malformed_body_is_dropped() -> None:
    """A sender that has the key may still be faulty."""
    rng = random.Random(2)
    codec = MembershipCodec("fleet", [KEY])
    sender = MemberRecord("a", ("10.0.0.1", 1), 1, MemberState.ALIVE)
    encoded_sender = encode_record(sender)
    bodies = [
        b"",
        b"x",
        HEADER.pack(9, 0, 1) + encoded_sender,
        HEADER.pack(1, 0, 1) + b"\xff" * 40,
        HEADER.pack(1, 0, 1) + encoded_sender[:-2] + b"\x09" + encoded_sender[-1:],
    ]
    bodies += [
        HEADER.pack(rng.randrange(8), 0, 1) + encoded_sender + rng.randbytes(rng.randrange(200))
        for _ in range(400)
    ]
    for body in bodies:
        assert drop_reason(codec, body) in (None, DropReason.MALFORMED)
    with pytest.raises(BadDatagramError, match="another receiver"):
        codec.decode(
            codec.encode(digest("10.0.0.2:1"), MembershipDatagram(MessageKind.ACK, 1, sender)), OWN_ADDRESSES
        )
