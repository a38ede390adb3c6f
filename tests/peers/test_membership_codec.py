"""Datagrams between members: what is written is read, what does not fit is left out, nonsense is garbage."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.cluster_members import Kind, MemberRecord, State
from plovertrail.decisions.health_evidence import HealthReport
from plovertrail.peers.envelope import LARGEST, BadDatagramError, Dropped, short
from plovertrail.peers.membership_codec import (
    HEAD,
    MOST_RECORDS,
    VERSION,
    Datagram,
    MembershipCodec,
    word_bytes,
)

KEY = b"0123456789abcdef"
ME = short("127.0.0.1:7400")
MINE = frozenset({ME})
ports = st.integers(0, 65_535)
records = st.builds(
    MemberRecord,
    st.text(min_size=1, max_size=12),
    st.tuples(st.just("10.1.2.3"), ports),
    st.integers(0, 2**62),
    st.sampled_from(list(State)),
    st.text(max_size=8),
)
parts = st.integers(0, 400).map(lambda sixteenths: sixteenths / 16)
ages = st.integers(0, 3_000).map(lambda age: age * 10_000)
keys = st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**32 - 1))
rows = st.builds(
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
        Datagram,
        st.sampled_from(list(Kind)),
        st.integers(0, 2**64 - 1),
        records,
        st.booleans(),
        st.text(max_size=12),
        st.tuples(st.just("10.9.8.7"), ports),
        st.lists(records, max_size=6).map(tuple),
        st.lists(rows, max_size=8).map(tuple),
    )
)
def test_what_is_written_is_read(datagram: Datagram) -> None:
    codec = MembershipCodec("fleet", [KEY])
    assert codec.read(codec.write(ME, datagram), MINE) == datagram


def test_a_long_zone_is_cut_between_characters() -> None:
    codec = MembershipCodec("fleet", [KEY])
    me = MemberRecord("n", ("10.0.0.1", 1), 1, State.ALIVE, "a" + "é" * 31)
    assert codec.read(codec.write(ME, Datagram(Kind.PROBE, 1, me)), MINE).sender.zone == "a" + "é" * 15


def test_what_does_not_fit_is_left_out_records_before_evidence() -> None:
    codec = MembershipCodec("fleet", [KEY])
    many = tuple(
        MemberRecord("n" * 60, ("10.0.0.1", number), 1, State.ALIVE, "z" * 32) for number in range(40)
    )
    evidence = tuple(HealthReport(number, 1, (1, 1), 2.0, 1.0, 0.0, 0.0, 0) for number in range(90))
    data = codec.write(ME, Datagram(Kind.TELL, 0, many[0], records=many, rows=evidence))
    found = codec.read(data, MINE)
    assert len(data) <= LARGEST and 5 < len(found.records) < MOST_RECORDS
    assert found.records == many[: len(found.records)]
    plain = Datagram(Kind.TELL, 0, many[0], rows=evidence)
    found = codec.read(codec.write(ME, plain), MINE)
    assert codec.room(plain) <= len(found.rows) <= codec.room(plain) + 1 and len(found.rows) > 20


def test_signed_nonsense_is_garbage_and_raises_nothing_else() -> None:
    """Whoever has the key may still be broken."""
    rng, codec = random.Random(2), MembershipCodec("fleet", [KEY])
    sender = MemberRecord("a", ("10.0.0.1", 1), 1, State.ALIVE)
    me = word_bytes(sender)
    bodies = [
        b"",
        b"x",
        HEAD.pack(9, 0, 1) + me,
        HEAD.pack(1, 0, 1) + b"\xff" * 40,
        HEAD.pack(1, 0, 1) + me[:-2] + b"\x09" + me[-1:],
    ]
    bodies += [HEAD.pack(rng.randrange(8), 0, 1) + me + rng.randbytes(rng.randrange(200)) for _ in range(400)]
    for body in bodies:
        try:
            codec.read(codec.seal.sealed(VERSION, ME, body), MINE)
        except BadDatagramError as error:
            assert error.why is Dropped.GARBAGE
    with pytest.raises(BadDatagramError, match="another receiver"):
        codec.read(codec.write(short("10.0.0.2:1"), Datagram(Kind.ACK, 1, sender)), MINE)
