"""Datagrams between fellows, version 2 of what an envelope (peers/envelope.py) holds, on the counts' socket:

    1 kind, 1 whether the sender doubts itself, 8 number, the sender's word, the subject's name and address, 1
    how many words, the words, 1 how many rows of evidence, the rows.

A word: 1 length and a name, 4 and 2 an IPv4 address and a port, 8 incarnation, 1 state, 1 length and a zone.
A row: 8 teller, 8 sequence, 8 server, 4 class, 2 each attempts, faults, silent and full in sixteenths, 2 its
age, 2 how long before that one last went well, both in 10 ms. Names and zones are UTF-8. Integers are
big-endian.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from plovertrail.config.peers import LONGEST_NAME
from plovertrail.decisions.fellows import NOWHERE, Address, Kind, State, Word
from plovertrail.decisions.judgements import Evidence
from plovertrail.peers.envelope import ROOM, BadDatagramError, Dropped, Seal

VERSION = 2
HEAD = struct.Struct(">BBQ")
PLACE = struct.Struct(">4sH")
RANK = struct.Struct(">QB")
ROW = struct.Struct(">QQQIHHHHHH")
SIXTEENTHS = 16.0
MOST_IN_ROW = 65_535 / SIXTEENTHS
AGE_US = 10_000
LONGEST_ZONE = 32
MOST_WORDS = 20


@dataclass(frozen=True, slots=True)
class Datagram:
    """What one fellow says to another."""

    kind: Kind
    number: int
    sender: Word
    unwell: bool = False
    subject: str = ""
    subject_address: Address = NOWHERE
    words: tuple[Word, ...] = ()
    rows: tuple[Evidence, ...] = ()


def text_bytes(text: str, longest: int) -> bytes:
    """A text as one byte of length and its UTF-8, cut to `longest` bytes; `longest` is 255 at most.

    Hazard: cut within a character it could not be read, and its reader would drop every datagram.
    """
    cut = text.encode("utf-8", "replace")[:longest]
    data = cut.decode("utf-8", "ignore").encode("utf-8")
    return bytes([len(data)]) + data


def word_bytes(word: Word) -> bytes:
    """A word in the form that the module's docstring gives; raises OSError if its address is not IPv4."""
    place = PLACE.pack(socket.inet_aton(word.address[0]), word.address[1])
    rank = RANK.pack(word.incarnation, word.state)
    return b"".join([text_bytes(word.name, LONGEST_NAME), place, rank, text_bytes(word.zone, LONGEST_ZONE)])


def row_bytes(row: Evidence) -> bytes:
    """A row of evidence in the form that the module's docstring gives; figures and ages beyond the range of
    their fields are cut to its end."""
    parts = (
        int(min(part, MOST_IN_ROW) * SIXTEENTHS + 0.5)
        for part in (row.attempts, row.faults, row.silent, row.full)
    )
    ages = (min(65_535, age_us // AGE_US) for age_us in (row.age_us, row.good_age_us))
    return ROW.pack(row.teller, row.sequence, row.key[0], row.key[1], *parts, *ages)


class Reader:
    """Goes through a datagram's bytes; raises BadDatagramError where they end or make no sense."""

    def __init__(self, data: bytes, at: int) -> None:
        self.data = data
        self.at = at

    def take(self, count: int) -> bytes:
        """The next `count` bytes; raises BadDatagramError if fewer are left."""
        found = self.data[self.at : self.at + count]
        if len(found) < count:
            raise BadDatagramError(Dropped.GARBAGE)
        self.at += count
        return found

    def text(self, longest: int) -> str:
        """A text with its length ahead of it; raises BadDatagramError if it has more than `longest` bytes or
        is not UTF-8."""
        length = self.take(1)[0]
        if length > longest:
            raise BadDatagramError(Dropped.GARBAGE)
        try:
            return self.take(length).decode()
        except UnicodeDecodeError:
            raise BadDatagramError(Dropped.GARBAGE) from None

    def address(self) -> Address:
        """An IPv4 address and a port; raises BadDatagramError if the bytes end before."""
        host, port = PLACE.unpack(self.take(PLACE.size))
        return socket.inet_ntoa(host), port

    def word(self) -> Word:
        """A word; raises BadDatagramError if it is cut off, its state is unknown or its name is empty."""
        name, address = self.text(LONGEST_NAME), self.address()
        incarnation, state = RANK.unpack(self.take(RANK.size))
        zone = self.text(LONGEST_ZONE)
        if state > State.GONE or not name:
            raise BadDatagramError(Dropped.GARBAGE)
        return Word(name, address, incarnation, State(state), zone)

    def row(self) -> Evidence:
        """A row of evidence, with its ages in microseconds again; raises BadDatagramError if it is cut
        off."""
        teller, sequence, server, kind, *parts, age, good_age = ROW.unpack(self.take(ROW.size))
        attempts, faults, silent, full = (part / SIXTEENTHS for part in parts)
        return Evidence(
            teller, sequence, (server, kind), attempts, faults, silent, full, age * AGE_US, good_age * AGE_US
        )


class FellowsCodec:
    """Writes and reads what the fellows of one fleet say."""

    def __init__(self, fleet: str, keys: Sequence[bytes]) -> None:
        self.seal = Seal(fleet, keys)

    def write(self, to: bytes, datagram: Datagram) -> bytes:
        """Its bytes, of what fits: words before evidence, each in its order. The sender's name, its zone and
        the subject's name always do."""
        fixed = b"".join(
            [
                HEAD.pack(datagram.kind, datagram.unwell, datagram.number),
                word_bytes(datagram.sender),
                text_bytes(datagram.subject, LONGEST_NAME),
                PLACE.pack(socket.inet_aton(datagram.subject_address[0]), datagram.subject_address[1]),
            ]
        )
        left = ROOM - len(fixed) - 2
        words = fitting([word_bytes(word) for word in datagram.words[:MOST_WORDS]], left)
        left -= sum(map(len, words))
        rows = [row_bytes(row) for row in datagram.rows[: left // ROW.size]]
        body = b"".join([fixed, bytes([len(words)]), *words, bytes([len(rows)]), *rows])
        return self.seal.sealed(VERSION, to, body)

    def room(self, datagram: Datagram) -> int:
        """How many rows of evidence surely fit beside its words."""
        taken = sum(len(word_bytes(word)) for word in (datagram.sender, *datagram.words[:MOST_WORDS]))
        left = ROOM - HEAD.size - taken - len(datagram.subject.encode()) - 3 - PLACE.size
        return max(0, left // ROW.size)

    def read(self, data: bytes, mine: frozenset[bytes]) -> Datagram:
        """A datagram to one of our addresses; raises BadDatagramError."""
        body = self.seal.opened(VERSION, data, mine)
        if len(body) < HEAD.size:
            raise BadDatagramError(Dropped.GARBAGE)
        kind, unwell, number = HEAD.unpack_from(body)
        if not Kind.PROBE <= kind <= Kind.TELL:
            raise BadDatagramError(Dropped.GARBAGE)
        reader = Reader(body, HEAD.size)
        sender, subject, subject_address = reader.word(), reader.text(LONGEST_NAME), reader.address()
        words = tuple(reader.word() for _ in range(reader.take(1)[0]))
        rows = tuple(reader.row() for _ in range(reader.take(1)[0]))
        if reader.at != len(body):
            raise BadDatagramError(Dropped.GARBAGE)
        return Datagram(Kind(kind), number, sender, bool(unwell), subject, subject_address, words, rows)


def fitting(parts: list[bytes], room: int) -> list[bytes]:
    """The first ones, as many as fit."""
    for count in range(len(parts), -1, -1):
        if sum(map(len, parts[:count])) <= room:
            return parts[:count]
    return []
