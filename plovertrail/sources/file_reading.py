"""Bounded reads of files and folders of endpoint lists; an incomplete file is rejected or read again."""

from __future__ import annotations

import hashlib
import os
import stat
import time
from dataclasses import dataclass, field
from typing import Protocol

from plovertrail.decisions.endpoint_list import EndpointList, ListedEndpoint
from plovertrail.decisions.list_versions import SourceKey, SourceKind
from plovertrail.sources.lists import MAX_ENDPOINTS, MAX_FILE_BYTES, InvalidListError, parse

# A file modified less than this ago may be modified again without a change of its times (NFS, FAT: 2 s).
MIN_TRUSTED_AGE_S = 3.0
SETTLE_S = 0.2  # how long a file without a checksum must stay unchanged to count as complete
MAX_FRAGMENTS = 256
Signature = tuple[int, int, int, int]


class FileSystem(Protocol):
    """The file system calls that may hang; tests replace them."""

    def status(self, path: str) -> os.stat_result:
        """Return `os.stat` of a path, following links; raises OSError."""

    def names(self, path: str) -> list[str]:
        """List the names in a folder; raises OSError."""

    def is_link(self, path: str) -> bool:
        """Whether the path itself is a symbolic link."""

    def read(self, path: str) -> tuple[bytes, Signature]:
        """Read a plain file; returns its bytes and signature; raises InvalidListError or OSError."""


class LocalFileSystem:
    """The operating system's own calls."""

    def status(self, path: str) -> os.stat_result:
        """Return `os.stat` of a path, following links; raises OSError."""
        return os.stat(path)

    def names(self, path: str) -> list[str]:
        """List the names in a folder, hidden ones too; raises OSError."""
        return os.listdir(path)

    def is_link(self, path: str) -> bool:
        """Whether the path itself is a symbolic link; no error if nothing is there."""
        return os.path.islink(path)

    def read(self, path: str) -> tuple[bytes, Signature]:
        """Read a plain file as `read_bounded` does."""
        return read_bounded(path)


LOCAL = LocalFileSystem()


def read_bounded(path: str) -> tuple[bytes, Signature]:
    """Read a plain file; returns its bytes and signature; raises InvalidListError or OSError."""
    # Without O_NONBLOCK opening a FIFO would wait for a writer; reading a device may never end.
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        found = os.fstat(fd)
        if not stat.S_ISREG(found.st_mode):
            raise InvalidListError("not a plain file")
        if found.st_size > MAX_FILE_BYTES:
            raise InvalidListError(f"longer than {MAX_FILE_BYTES >> 20} MiB")
        parts: list[bytes] = []
        left = MAX_FILE_BYTES + 1
        while left > 0 and (part := os.read(fd, min(left, 1 << 20))):
            parts.append(part)
            left -= len(part)
        after = os.fstat(fd)
        if (after.st_mtime_ns, after.st_size) != (found.st_mtime_ns, found.st_size):
            raise InvalidListError("it changed while it was read")
    finally:
        os.close(fd)
    return b"".join(parts), signature(found)


def signature(found: os.stat_result) -> Signature:
    """Return device, inode, size and modification time (ns); any change shows in it if times are fine."""
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns


@dataclass
class FileContent:
    """A file's content as it was last read."""

    signature: Signature
    data: bytes
    first_seen_s: float  # when this content was first read, by a monotonic clock


@dataclass
class FileSource:
    """One file, or a folder whose files form one list; `path` may be a symbolic link that gets replaced."""

    path: str
    checksum: bool = True
    files: FileSystem = LOCAL
    kind: SourceKind = SourceKind.LIST
    contents: dict[str, FileContent] = field(default_factory=dict)
    result: EndpointList | InvalidListError | None = None  # of the last parse; None if not settled
    digest: str = ""  # of the bytes that `result` was parsed from
    may_change: bool = False  # modified so recently that its times may not show the next change
    opened: bool = False  # the last call opened a file
    is_folder: bool = False  # the path is a folder
    is_linked: bool = False  # the path is a symbolic link, which may be replaced

    @property
    def key(self) -> SourceKey:
        """The key of the source in this process."""
        return SourceKey(self.path, self.checksum, self.kind)

    @property
    def name(self) -> str:
        """The source's name in lists, reports and the state file."""
        return self.key.name

    def names(self) -> list[str]:
        """List the files, sorted, without temporary and hidden ones (config maps keep copies in ..data)."""
        self.is_folder = self._is_folder()
        if not self.is_folder:
            return [self.path]
        found = sorted(
            name
            for name in self.files.names(self.path)
            if not name.startswith(".") and not name.endswith(("~", ".tmp", ".swp"))
        )
        if not found:
            raise InvalidListError("the folder holds no list")
        if len(found) > MAX_FRAGMENTS:
            raise InvalidListError(f"more than {MAX_FRAGMENTS} files")
        return [os.path.join(self.path, name) for name in found]

    def _is_folder(self) -> bool:
        try:
            return stat.S_ISDIR(self.files.status(self.path).st_mode)
        except OSError:
            return False

    def read(self, now: float, settle: bool = True) -> tuple[bool, EndpointList | None]:
        """Read the source; returns whether the list is new since the last call, and the list.

        The list is None while a file has not settled; with `settle` false it counts as settled at once.
        Content that has not changed is not parsed again.
        Blocks; raises InvalidListError or OSError.
        """
        changed = False
        settled = True
        result, self.result = self.result, None
        self.may_change = self.opened = False
        names = self.names()
        if self.contents.keys() - set(names):
            changed = True
            self.contents = {name: content for name, content in self.contents.items() if name in names}
        for name in names:
            old = self.contents.get(name)
            if old is not None and self._is_unchanged(name, old):
                data, new_signature = old.data, old.signature
            else:
                data, new_signature = self.files.read(name)
                self.opened = True
            self.may_change |= 0 <= time.time() - new_signature[3] / 1e9 <= MIN_TRUSTED_AGE_S
            if old is None or old.data != data:
                changed = True
                old = FileContent(new_signature, data, now)
            self.contents[name] = FileContent(new_signature, data, old.first_seen_s)
            settled &= self.checksum or not settle or now - old.first_seen_s >= SETTLE_S
        if result is not None and not changed:
            self.result = result
            if isinstance(result, InvalidListError):
                raise result
            return False, result
        if not settled:
            return changed, None
        if self.opened:
            self.is_linked = self.files.is_link(self.path)
        try:
            self.digest = self._digest(names)
            self.result = self._parse(names)
        except InvalidListError as error:
            self.result = error
            raise
        return True, self.result

    def _digest(self, names: list[str]) -> str:
        """Compute the digest of the bytes; with several files it covers their names too."""
        if len(names) == 1:
            return hashlib.sha256(self.contents[names[0]].data).hexdigest()
        whole = hashlib.sha256()
        for name in names:
            whole.update(f"{os.path.basename(name)}\0{len(self.contents[name].data)}\0".encode())
            whole.update(self.contents[name].data)
        return whole.hexdigest()

    def _parse(self, names: list[str]) -> EndpointList:
        if self.kind is SourceKind.PLAIN:
            return EndpointList(self.name, ())
        entries: list[ListedEndpoint] = []
        version = 0
        for name in names:
            try:
                part = parse(name, self.contents[name].data, self.name, self.checksum)
            except InvalidListError as error:
                where = os.path.basename(name) + ": " if len(names) > 1 else ""
                raise InvalidListError(where + str(error)) from None
            entries.extend(part.endpoints)
            version += part.version
        if len(entries) > MAX_ENDPOINTS:
            raise InvalidListError(f"more than {MAX_ENDPOINTS} servers")
        return EndpointList(self.name, tuple(entries), version if len(names) == 1 else 0)

    def _is_unchanged(self, path: str, old: FileContent) -> bool:
        """Whether a file is certainly unchanged.

        With coarse times a second change may leave the signature as it is, so recent ones are not trusted.
        """
        found = self.files.status(path)
        return signature(found) == old.signature and time.time() - found.st_mtime > MIN_TRUSTED_AGE_S


def first_read(source: FileSource) -> EndpointList | str:
    """Read a source that is not watched; returns its list, or what is wrong with it. Blocks."""
    try:
        _, found = source.read(time.monotonic())
        if found is None:
            time.sleep(SETTLE_S + 0.05)
            _, found = source.read(time.monotonic())
        return found if found is not None else "it has not settled yet"
    except (InvalidListError, OSError) as error:
        return describe_error(error)


def describe_error(error: InvalidListError | OSError) -> str:
    """Describe an error for operators."""
    return error.strerror or repr(error) if isinstance(error, OSError) else str(error)
