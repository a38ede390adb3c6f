"""A snapshot and a journal on a disk, read and written. Blocking: on a thread, or before the daemon serves.

The snapshot is one line (the format), a frame that says what it is of and where each part lies, and the
parts, compressed (Zstandard, RFC 8878): one for each pool's lists, one for all else. It is written beside its
place, synced, renamed, and the folder is synced. The journal is a frame a step, appended and synced; it
belongs to the snapshot whose nonce it begins with, and to no other.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec
import zstandard

from plovertrail.decisions.endpoint_list import State
from plovertrail.store import format_1
from plovertrail.store.frames import HEAD, LARGEST, NONCE_BYTES, digest, frame, frames
from plovertrail.store.records import LISTS, InvalidRecordsError, Kept, Key, Record, others_of, state_of

FIRST_LINE = b"plovertrail-state 2\n"
OTHERS = ""  # the part that holds what is kept beside lists; no pool has that name
LEAST_JOURNAL = 256 << 10  # bytes before a new snapshot is worth while,
JOURNAL_TIMES = 2  # and so many times the snapshot's own: what a disk holds, and a start reads, is bounded
LEVEL = 1  # of compression: a third of the bytes at a tenth of the time of higher ones


class StoreFileError(Exception):
    """A file that can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Clocks:
    """The present time by the module's clock and by the system's, in us; what names the machine's start."""

    now_us: int
    unix_us: int
    boot: str = ""


class Head(msgspec.Struct, frozen=True):
    """What a snapshot says of itself: whose it is, and for each part its name, place, length and digest."""

    instance: str
    boot: str
    ahead: int  # Unix time less the module's clock
    written_us: int  # Unix time
    nonce: bytes
    parts: list[tuple[str, int, int, bytes]]


@dataclass(slots=True)
class Found:
    """What a start finds. `problems` are told; what they concern is learnt anew."""

    kept: Kept = field(default_factory=Kept)
    problems: list[str] = field(default_factory=list)
    journal_frames: int = 0
    age_us: int | None = None  # of the snapshot; None: there was none


@dataclass(frozen=True, slots=True)
class Disk:
    """The calls that change something; tests put others in their place."""

    write: Callable[[int, Any], int] = os.write
    sync: Callable[[int], None] = os.fsync
    replace: Callable[[str, str], None] = os.replace


def replace_file(path: str, data: bytes, disk: Disk | None = None) -> None:
    """Put the bytes in a file's place, whole; raises OSError. Whoever reads it, after a kill at any moment,
    finds the old ones or the new ones."""
    disk = disk or Disk()
    beside = f"{path}.new"
    fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        _write(fd, data, disk)
        disk.sync(fd)
    finally:
        os.close(fd)
    disk.replace(beside, path)
    handle = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY)
    try:
        disk.sync(handle)
    finally:
        os.close(handle)


def _write(fd: int, data: bytes, disk: Disk) -> None:
    left = memoryview(data)
    while left:
        left = left[disk.write(fd, left) :]


def encode(
    parts: Mapping[str, Sequence[Record]], instance: str, ahead: int, clocks: Clocks, nonce: bytes
) -> bytes:
    """A snapshot's bytes."""
    packer = zstandard.ZstdCompressor(level=LEVEL)
    toc, bodies, at = [], [], 0
    for number, (name, records) in enumerate(parts.items()):
        body = packer.compress(msgspec.json.encode([[*key, value] for key, value in records]))
        toc.append((name, at, len(body), digest(nonce, number + 1, body)))
        bodies.append(body)
        at += len(body)
    head = Head(instance, clocks.boot, ahead, clocks.unix_us, nonce, toc)
    # hazard: the nonce is read before it is known; so the head's own digest is under a fixed one
    return FIRST_LINE + frame(bytes(NONCE_BYTES), 0, msgspec.json.encode(head)) + b"".join(bodies)


def _records(payload: bytes) -> list[Record]:
    """Raises ValueError."""
    rows = msgspec.json.decode(payload, type=list[list[Any]])
    return [(tuple(map(str, words)), value) for *words, value in rows]


def decode(data: bytes, journal: bytes, instance: str, clocks: Clocks) -> Found:
    """What a snapshot and its journal hold; raises StoreFileError if nothing of it can be used.

    Each part is taken whole or not at all; of the journal all up to the first frame that is damaged.
    """
    if not data.startswith(FIRST_LINE):
        if format_1.HEAD.match(data) is None:
            raise StoreFileError("it has no first line of ours, or is of a format that is not known here")
        try:
            return Found(Kept(format_1.decode(data, clocks.now_us, clocks.unix_us, clocks.boot)))
        except format_1.InvalidStateFileError as error:
            raise StoreFileError(str(error)) from None
    first = next(frames(bytes(NONCE_BYTES), data, len(FIRST_LINE)), None)
    if first is None:
        raise StoreFileError("it is damaged: what it is of can't be read")
    try:
        head = msgspec.json.decode(first[0], type=Head)
    except msgspec.MsgspecError as error:
        raise StoreFileError(f"it says nothing of what it is of: {error}") from None
    found = Found(age_us=clocks.unix_us - head.written_us)
    images, lost = _parts(data, first[1], head, found)
    found.journal_frames = _replay(journal, head, images, lost, found)
    same = bool(clocks.boot) and head.boot == clocks.boot  # one machine, not started again: its clock went on
    ahead = head.ahead if same else clocks.unix_us - clocks.now_us
    states: dict[str, State] = {}
    for name, image in images.items():
        if name != OTHERS and image:
            try:
                states[name] = state_of(image, name, ahead, clocks.now_us)
            except InvalidRecordsError as error:
                found.problems.append(f"{error}; its lists are read anew")
    others = others_of(images.get(OTHERS, {}), ahead)
    if head.instance != instance:
        # hazard: on a copied disk, what another has let in and thinks of servers would count as ours
        others = Kept()
        found.problems.append(
            f"it is of the instance {head.instance!r}, and this is {instance!r}: lists, "
            "start times and drains are taken, judgements, limits and counts learnt anew"
        )
    found.kept = Kept(states, others.memories, others.limits, others.counts)
    return found


def _parts(data: bytes, begin: int, head: Head, found: Found) -> tuple[dict[str, dict[Key, Any]], set[str]]:
    """The records of the parts that are whole, and the names of those that are not."""
    images: dict[str, dict[Key, Any]] = {}
    lost: set[str] = set()
    for number, (name, at, length, told) in enumerate(head.parts):
        body = data[begin + at : begin + at + length]
        try:
            if len(body) < length or digest(head.nonce, number + 1, body) != told:
                raise ValueError("its bytes are damaged")
            whole = zstandard.ZstdDecompressor().decompress(body, max_output_size=LARGEST)
            images[name] = dict(_records(whole))
        except (ValueError, TypeError, zstandard.ZstdError) as error:
            lost.add(name)
            what = f"what is kept of the pool {name!r}" if name else "what is kept beside lists"
            found.problems.append(f"{what} is not used: {error}")
    return images, lost


def _replay(
    journal: bytes, head: Head, images: dict[str, dict[Key, Any]], lost: set[str], found: Found
) -> int:
    """Put what has changed since into the images; how many steps that were."""
    if not journal:
        return 0
    nonce = journal[HEAD.size : HEAD.size + NONCE_BYTES]
    if len(nonce) < NONCE_BYTES or next(frames(nonce, journal), (b"", 0))[0] != nonce:
        found.problems.append("the beginning of its journal is cut or damaged: no step of it is used")
        return 0
    if nonce != head.nonce:
        return 0  # of an earlier snapshot: this one holds all of it
    steps, end = 0, 0
    for payload, behind in frames(head.nonce, journal):
        if steps:
            try:
                records = _records(payload)
            except (ValueError, TypeError):
                break
            for key, value in records:
                part = key[1] if key and key[0] in LISTS and len(key) > 1 else OTHERS
                if part in lost:
                    continue  # hazard: changes to a list that is not there would make another one
                image = images.setdefault(part, {})
                if value is None:
                    image.pop(key, None)
                else:
                    image[key] = value
        steps, end = steps + 1, behind
    if end < len(journal):
        found.problems.append(
            f"the last {len(journal) - end} bytes of its journal are cut or damaged: "
            f"{max(0, steps - 1)} steps before them are used"
        )
    return max(0, steps - 1)


class Files:
    """The two files of one daemon; one caller at a time."""

    def __init__(self, path: str, instance: str = "", disk: Disk | None = None) -> None:
        self.path = path
        self.journal_path = f"{path}.journal"
        self.instance = instance
        self.disk = disk or Disk()
        self.fd = -1  # of the journal; -1: the next write is a snapshot
        self.nonce = b""
        self.ahead = 0  # as the snapshot has it, and so the journal behind it
        self.steps = 0
        self.written = 0  # bytes of the journal
        self.snapshot_bytes = 0
        self.snapshots = 0  # written since the start

    def read(self, clocks: Clocks) -> Found:
        """What the last process left. Never raises: a file that can't be used is set aside, and the start
        goes on without it."""
        journal = b""
        try:
            data = _bytes_of(self.path)
            with suppress(FileNotFoundError):
                journal = _bytes_of(self.journal_path)
        except FileNotFoundError:
            return Found()
        except OSError as error:
            return Found(problems=[f"{self.path} can't be read, and is not used: {error.strerror}"])
        try:
            if max(len(data), len(journal)) > LARGEST:
                raise StoreFileError(f"it holds more than {LARGEST >> 20} MiB")
            found = decode(data, journal, self.instance, clocks)
            if any("not used" in problem or "damaged" in problem for problem in found.problems):
                self._set_aside(keep=True)
            found.problems = [f"{self.path}: {problem}" for problem in found.problems]
            return found
        except StoreFileError as error:
            self._set_aside(keep=False)
            return Found(problems=[f"{self.path} is not used and set aside as {self.path}.bad: {error}"])

    def _set_aside(self, keep: bool) -> None:
        """For whoever looks into it. `keep`: what is good of it is used, so until the next snapshot it has to
        stay as well."""
        for path in (self.path, self.journal_path):
            with suppress(OSError):
                if keep:
                    with suppress(FileNotFoundError):
                        os.unlink(f"{path}.bad")
                    os.link(path, f"{path}.bad")
                else:
                    os.replace(path, f"{path}.bad")

    @property
    def wants_snapshot(self) -> bool:
        """Whether the next write has to be, or should be, a whole one."""
        return self.fd < 0 or self.written > max(LEAST_JOURNAL, JOURNAL_TIMES * self.snapshot_bytes)

    def snapshot(self, parts: Mapping[str, Sequence[Record]], ahead: int, clocks: Clocks) -> None:
        """Write all there is, and begin a journal behind it; raises OSError, and the old files hold then."""
        self.close()
        nonce = os.urandom(NONCE_BYTES)
        data = encode(parts, self.instance, ahead, clocks, nonce)
        replace_file(self.path, data, self.disk)
        self.snapshots += 1
        self.snapshot_bytes, self.nonce, self.ahead = len(data), nonce, ahead
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        fd = os.open(self.journal_path, flags, 0o600)
        try:
            first = frame(nonce, 0, nonce)
            _write(fd, first, self.disk)
        except OSError:
            os.close(fd)
            raise
        self.fd, self.steps, self.written = fd, 1, len(first)

    def append(self, records: Sequence[Record], sync: bool) -> None:
        """One step behind the others, which is there after a crash whole or not at all; raises OSError, and
        the next write has to be a snapshot: hazard: what is written behind a torn frame is never read."""
        payload = msgspec.json.encode([[*key, value] for key, value in records])
        data = frame(self.nonce, self.steps, payload)
        try:
            _write(self.fd, data, self.disk)
            if sync:
                self.disk.sync(self.fd)
        except OSError:
            self.close()
            raise
        self.steps += 1
        self.written += len(data)

    def close(self) -> None:
        """Close the journal's file descriptor. May be called again."""
        fd, self.fd = self.fd, -1
        if fd >= 0:
            os.close(fd)


def _bytes_of(path: str) -> bytes:
    """Of a plain file; no more than one over the bound."""
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(fd, "rb") as file:
        return file.read(LARGEST + 1)
