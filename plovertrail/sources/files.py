"""Watches files of server lists: a notification where there is one, and a poll behind it that needs none."""

from __future__ import annotations

import asyncio
import logging
import os
import stat
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from plovertrail.decisions.membership import Candidate, Entry
from plovertrail.sources.lists import LARGEST, MOST_SERVERS, BadList, parse

log = logging.getLogger(__name__)

POLL_S = 0.25  # notifications get lost; so a change is seen within 1 s whatever they do
COARSE_S = 3.0  # a file whose times are so young may change again under the same times (NFS, FAT: 2 s)
SETTLE_S = 0.2  # a file with no checksum must stay as it is for so long
MOST_FRAGMENTS = 256
Signature = tuple[int, int, int, int]
Taken = Callable[[Candidate], Awaitable[None]]
Refused = Callable[[str, str], Awaitable[None]]


def read_bounded(path: str) -> tuple[bytes, Signature]:
    """A plain file's bytes and its signature; raises BadList or OSError."""
    # hazard: opening a FIFO waits for a writer, and reading a device may never end
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        found = os.fstat(fd)
        if not stat.S_ISREG(found.st_mode):
            raise BadList("not a plain file")
        if found.st_size > LARGEST:
            raise BadList(f"longer than {LARGEST >> 20} MiB")
        parts: list[bytes] = []
        left = LARGEST + 1
        while left > 0 and (part := os.read(fd, min(left, 1 << 20))):
            parts.append(part)
            left -= len(part)
        after = os.fstat(fd)
        if (after.st_mtime_ns, after.st_size) != (found.st_mtime_ns, found.st_size):
            raise BadList("it changed while it was read")
    finally:
        os.close(fd)
    return b"".join(parts), signature(found)


def signature(found: os.stat_result) -> Signature:
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns


@dataclass
class Seen:
    """A file as it was last read."""

    signature: Signature
    data: bytes
    since: float  # when these bytes were first seen, by a clock that only moves forward


@dataclass
class FileSource:
    """One file, or a folder whose files make one list together; `path` may be a link that is swapped."""

    path: str
    checksum: bool = True
    seen: dict[str, Seen] = field(default_factory=dict)
    made: Candidate | BadList | None = None  # of what was seen, as far as it has settled

    @property
    def name(self) -> str:
        return f"file:{self.path}"

    def names(self) -> list[str]:
        """The files: sorted, without hidden ones (config maps keep theirs in ..data) and temporary ones."""
        if not os.path.isdir(self.path):
            return [self.path]
        found = sorted(
            name
            for name in os.listdir(self.path)
            if not name.startswith(".") and not name.endswith(("~", ".tmp", ".swp"))
        )
        if not found:
            raise BadList("the folder holds no list")
        if len(found) > MOST_FRAGMENTS:
            raise BadList(f"more than {MOST_FRAGMENTS} files")
        return [os.path.join(self.path, name) for name in found]

    def read(self, now: float, settle: bool = True) -> tuple[bool, Candidate | None]:
        """Whether the list is new since the last call, and the list; None: it has not settled yet. Blocking;
        raises BadList or OSError. What has not changed is not parsed again."""
        changed = False
        settled = True
        made, self.made = self.made, None
        names = self.names()
        if self.seen.keys() - set(names):
            changed = True
            self.seen = {name: seen for name, seen in self.seen.items() if name in names}
        for name in names:
            old = self.seen.get(name)
            if old is not None and self._surely_same(name, old):
                data, now_signature = old.data, old.signature
            else:
                data, now_signature = read_bounded(name)
            if old is None or old.data != data:
                changed = True
                old = Seen(now_signature, data, now)
            self.seen[name] = Seen(now_signature, data, old.since)
            settled &= self.checksum or not settle or now - old.since >= SETTLE_S
        if made is not None and not changed:
            self.made = made
            if isinstance(made, BadList):
                raise made
            return False, made
        if not settled:
            return changed, None
        try:
            self.made = self._parsed(names)
        except BadList as error:
            self.made = error
            raise
        return True, self.made

    def _parsed(self, names: list[str]) -> Candidate:
        entries: list[Entry] = []
        version = 0
        for name in names:
            try:
                part = parse(name, self.seen[name].data, self.name, self.checksum)
            except BadList as error:
                where = os.path.basename(name) + ": " if len(names) > 1 else ""
                raise BadList(where + str(error)) from None
            entries.extend(part.entries)
            version += part.version
        if len(entries) > MOST_SERVERS:
            raise BadList(f"more than {MOST_SERVERS} servers")
        return Candidate(self.name, tuple(entries), version if len(names) == 1 else 0)

    @staticmethod
    def _surely_same(path: str, old: Seen) -> bool:
        """Hazard: where times are coarse a second change leaves the signature as it is."""
        found = os.stat(path)
        return signature(found) == old.signature and time.time() - found.st_mtime > COARSE_S


def first_read(source: FileSource) -> Candidate | str:
    """What a source holds that is not watched yet, or what is wrong with it. Blocking."""
    try:
        _, found = source.read(time.monotonic())
        if found is None:
            time.sleep(SETTLE_S + 0.05)
            _, found = source.read(time.monotonic())
        return found if found is not None else "it has not settled yet"
    except (BadList, OSError) as error:
        return complaint(error)


def complaint(error: BadList | OSError) -> str:
    """What the operator is told."""
    return error.strerror or repr(error) if isinstance(error, OSError) else str(error)


class FileWatch:
    """Follows one source: each list that is whole goes to `taken`, each that is not to `refused`."""

    def __init__(self, source: FileSource, taken: Taken, refused: Refused) -> None:
        self.source = source
        self.taken = taken
        self.refused = refused
        self.poke = asyncio.Event()
        self.again = False  # the list is to be passed on though it is not new: it may be judged otherwise now
        self.complaint = ""  # the last one that was passed on, if no list has been since
        self.looking = asyncio.Lock()
        self.tasks = [asyncio.create_task(self._poll()), asyncio.create_task(self._notified())]

    async def _poll(self) -> None:
        while True:
            await self.look()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.poke.wait(), POLL_S)
            self.poke.clear()

    async def look(self) -> bool:
        """Read the source once, off the loop; whether it has settled. Hazard: a look that began before the
        process stood still ends after it, with what the file held before."""
        async with self.looking:
            return await self._look()

    async def _look(self) -> bool:
        try:
            new, candidate = await asyncio.to_thread(self.source.read, time.monotonic())
        except (BadList, OSError) as error:
            text = complaint(error)
            if self.complaint != text:
                self.complaint = text
                await self.refused(self.source.name, text)
        except Exception:
            # hazard: a fault with one reading would end the watch, and with it all drains told by the file
            log.exception("%s can't be read", self.source.name)
        else:
            if candidate is not None and (new or self.again or self.complaint):
                self.again, self.complaint = False, ""
                await self.taken(candidate)
            return candidate is not None
        return True

    async def _notified(self) -> None:
        """Look at once where the system tells of a change; where it doesn't, the poll is enough."""
        try:
            from watchfiles import awatch

            path = self.source.path
            folder = path if os.path.isdir(path) else os.path.dirname(path) or "."
            async for _ in awatch(folder, recursive=False, debounce=10, step=5, rust_timeout=1000):
                self.poke.set()
        except Exception as error:
            log.info("%s: no notifications, polled only: %r", self.source.name, error)

    def judge_again(self) -> None:
        """The guards have changed. Hazard: a list that they refused is not new, and would stay refused."""
        self.again = True
        self.poke.set()

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
