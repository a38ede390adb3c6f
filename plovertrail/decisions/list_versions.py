"""What a process has read of its files: one version for each source, one digest for all that is in force.

Pure: the reader of files (`plovertrail/sources/list_reader.py`) reports what it has read and asks what to
read next; times are arguments, in microseconds of one monotonic clock.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import Any

SCAN_PERIOD_US = 1_000_000  # between two safety scans, as long as they are cheap
SCAN_SHARE = 0.01  # of one core, for the safety scans
LATEST_DRAIN_US = 2_000_000  # in which a drain that a file tells must be seen, with no notification at all
QUICK_LOOK_US = 200_000  # between two looks at a file that was changed a moment ago, or has not settled


class SourceKind(enum.Enum):
    """What the bytes of a source are."""

    LIST = "list"  # of servers or of instances
    PLAIN = "file"  # read by its owner, as the operator's file is: only its digest is of interest


@dataclass(frozen=True, slots=True)
class SourceKey:
    """A file, or a folder of files that make one list, and what it must keep to."""

    path: str
    checksum: bool = True
    kind: SourceKind = SourceKind.LIST

    @property
    def name(self) -> str:
        """The source as lists, reports and the state file name it."""
        return f"file:{self.path}"


class ReadState(enum.Enum):
    """How the last look at a source ended."""

    UNREAD = "not read yet"
    UNSETTLED = "changes still"
    GOOD = "good"
    REFUSED = "refused"
    HUNG = "hangs"
    UNTRIED = "not tried, as too many reads hang"


@dataclass(slots=True)
class SourceVersion:
    """What was read of one source. `generation` counts what its subscribers were told in this process."""

    key: SourceKey
    state: ReadState = ReadState.UNREAD
    generation: int = 0
    read_us: int = 0  # when its content was last read or found to be the same; 0 = never
    changed_us: int = 0  # when `generation` last grew
    version: int = 0  # the file's own; 0 = it has none
    digest: str = ""  # SHA-256 of its bytes, of the last good content
    servers: int = 0
    refusal: str = ""  # what is wrong with its content; empty: nothing
    hung_since_us: int | None = None

    @property
    def complaint(self) -> str:
        """What subscribers are told is wrong; empty: nothing."""
        if self.state is ReadState.HUNG:
            return "a read of it hangs"
        return f"it is {self.state.value}" if self.state is ReadState.UNTRIED else self.refusal

    @property
    def hung(self) -> bool:
        """Whether its last look has not come back, or could not begin."""
        return self.state in (ReadState.HUNG, ReadState.UNTRIED)

    def took(self, version: int, digest: str, servers: int, new: bool, now_us: int) -> bool:
        """It gave good content; whether subscribers have to be told."""
        told = new or self.state is not ReadState.GOOD or self.digest != digest
        self.version, self.digest, self.servers, self.refusal = version, digest, servers, ""
        return self._read(ReadState.GOOD, told, now_us)

    def refused(self, why: str, now_us: int) -> bool:
        """Its content can't be used; whether subscribers have to be told."""
        told = self.state is not ReadState.REFUSED or self.refusal != why
        self.refusal = why
        return self._read(ReadState.REFUSED, told, now_us)

    def unsettled(self, now_us: int) -> None:
        """It still changes: what was told last stays, unless that was a hang or nothing."""
        if self.state is ReadState.UNREAD or self.hung:
            self.state = ReadState.UNSETTLED
        self.hung_since_us, self.read_us = None, now_us

    def hangs(self, tried: bool, now_us: int) -> bool:
        """A read of it doesn't come back, or can't begin; whether subscribers have to be told."""
        state = ReadState.HUNG if tried else ReadState.UNTRIED
        told = self.state is not state
        self.state = state
        if self.hung_since_us is None:
            self.hung_since_us = now_us
        if told:
            self.generation += 1
            self.changed_us = now_us
        return told

    def _read(self, state: ReadState, told: bool, now_us: int) -> bool:
        self.state, self.read_us, self.hung_since_us = state, now_us, None
        if told:
            self.generation += 1
            self.changed_us = now_us
        return told


@dataclass(slots=True)
class ScanSchedule:
    """When the next safety scan begins: once a second, or less often where one costs more than its share."""

    period_us: int = SCAN_PERIOD_US
    last_us: int = 0  # for how long the last scan ran, by the clock
    scans: int = 0

    def scanned(self, cost_us: int, lasted_us: int) -> None:
        """A scan took so much of a core, over so long a time."""
        self.scans += 1
        self.last_us = lasted_us
        self.period_us = max(SCAN_PERIOD_US, int(cost_us / SCAN_SHARE))

    @property
    def detection_us(self) -> int:
        """In which a change is seen though no notification tells of it, without the time to settle."""
        return self.period_us + self.last_us

    @property
    def too_slow(self) -> bool:
        """Whether a drain may be seen too late where notifications fail."""
        return self.detection_us + QUICK_LOOK_US > LATEST_DRAIN_US


@dataclass(slots=True)
class InForce:
    """What subscribers have accepted, and a digest of it that is the same in each process with the same."""

    generation: int = 0  # grows with each change that comes into force in this process
    setup: str = ""  # the digest of the operator's file
    accepted: dict[tuple[str, SourceKey], str] = field(default_factory=dict)  # digests, by subscriber

    def accept(self, subscriber: str, key: SourceKey, digest: str) -> None:
        """This content is in force for a subscriber."""
        if self.accepted.get((subscriber, key)) != digest:
            self.accepted[subscriber, key] = digest
            self.generation += 1

    def drop(self, subscriber: str, key: SourceKey) -> None:
        """A subscriber follows a source no more."""
        if self.accepted.pop((subscriber, key), None) is not None:
            self.generation += 1

    def use_setup(self, digest: str) -> None:
        """An operator's file has come into force."""
        if self.setup != digest:
            self.setup = digest
            self.generation += 1

    def digest(self) -> str:
        """Of all that is in force, with the operator's file."""
        lines = sorted(f"{who}\0{key.path}\0{digest}\n" for (who, key), digest in self.accepted.items())
        return hashlib.sha256(f"{self.setup}\n{''.join(lines)}".encode()).hexdigest()


def version_status(version: SourceVersion, subscribers: list[str], now_us: int) -> dict[str, Any]:
    """One source as operators are told of it; times in seconds ago."""

    def ago(at_us: int | None) -> float | None:
        return round((now_us - at_us) / 1e6, 3) if at_us else None

    return {
        "state": version.state.value,
        "generation": version.generation,
        "version": version.version,
        "digest": version.digest,
        "servers": version.servers,
        "read_s_ago": ago(version.read_us),
        "changed_s_ago": ago(version.changed_us),
        "refusal": version.refusal,
        "hung_for_s": ago(version.hung_since_us),
        "subscribers": subscribers,
    }
