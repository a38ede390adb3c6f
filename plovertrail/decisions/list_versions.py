"""What a process has read of its files: a version for each source, and a digest of all that is in force.

The reader of files (`plovertrail/sources/list_reader.py`) reports what it has read and asks what to read
next. Times are arguments, in microseconds of one monotonic clock.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import Any

SCAN_PERIOD_US = 1_000_000  # between two safety scans, as long as they are cheap
SCAN_CPU_FRACTION = 0.01  # of one core, for the safety scans
MAX_DRAIN_DETECTION_US = 2_000_000  # in which a drain in a file must be seen without any notification
RECHECK_INTERVAL_US = 200_000  # between two reads of a file that was changed a moment ago, or has not settled


class SourceKind(enum.Enum):
    """What a source holds."""

    LIST = "list"  # of endpoints or of instances
    PLAIN = "file"  # read by its owner, as the operator's file is: only its digest is of interest


@dataclass(frozen=True, slots=True)
class SourceKey:
    """A file, or a folder of files that make one list, and how it is read."""

    path: str
    checksum: bool = True
    kind: SourceKind = SourceKind.LIST

    @property
    def name(self) -> str:
        """Return the source's name in lists, reports and the state file."""
        return f"file:{self.path}"


class ReadState(enum.Enum):
    """How the last read of a source ended; the values are shown to operators."""

    UNREAD = "not read yet"
    UNSETTLED = "changes still"
    GOOD = "good"
    REFUSED = "refused"
    HUNG = "hangs"
    UNTRIED = "not tried, as too many reads hang"


@dataclass(slots=True)
class SourceVersion:
    """What was read of one source."""

    key: SourceKey
    state: ReadState = ReadState.UNREAD
    generation: int = 0  # counts what its subscribers were told in this process
    read_us: int = 0  # when its content was last read or found to be the same; 0 = never
    changed_us: int = 0  # when `generation` last grew
    version: int = 0  # the file's own; 0 = it has none
    digest: str = ""  # SHA-256 of its bytes, of the last good content
    endpoint_count: int = 0
    rejection: str = ""  # what is wrong with its content; empty: nothing
    hung_since_us: int | None = None

    @property
    def problem(self) -> str:
        """Return what is wrong with the source, or an empty text."""
        if self.state is ReadState.HUNG:
            return "a read of it hangs"
        return f"it is {self.state.value}" if self.state is ReadState.UNTRIED else self.rejection

    @property
    def is_hung(self) -> bool:
        """Whether its last read has not ended, or could not begin."""
        return self.state in (ReadState.HUNG, ReadState.UNTRIED)

    def list_accepted(
        self, version: int, digest: str, endpoint_count: int, changed: bool, now_us: int
    ) -> bool:
        """Note good content; returns whether subscribers have to be told."""
        must_notify = changed or self.state is not ReadState.GOOD or self.digest != digest
        self.version = version
        self.digest = digest
        self.endpoint_count = endpoint_count
        self.rejection = ""
        return self._read_ended(ReadState.GOOD, must_notify, now_us)

    def list_rejected(self, problem: str, now_us: int) -> bool:
        """Note content that can't be used; returns whether subscribers have to be told."""
        must_notify = self.state is not ReadState.REFUSED or self.rejection != problem
        self.rejection = problem
        return self._read_ended(ReadState.REFUSED, must_notify, now_us)

    def not_settled(self, now_us: int) -> None:
        """Note that it still changes: what was told last stays, unless that was a hang or nothing."""
        if self.state is ReadState.UNREAD or self.is_hung:
            self.state = ReadState.UNSETTLED
        self.hung_since_us = None
        self.read_us = now_us

    def read_hangs(self, tried: bool, now_us: int) -> bool:
        """Note that a read hangs, or can't begin; returns whether subscribers have to be told."""
        state = ReadState.HUNG if tried else ReadState.UNTRIED
        must_notify = self.state is not state
        self.state = state
        if self.hung_since_us is None:
            self.hung_since_us = now_us
        self._count_change(must_notify, now_us)
        return must_notify

    def _read_ended(self, state: ReadState, must_notify: bool, now_us: int) -> bool:
        self.state = state
        self.read_us = now_us
        self.hung_since_us = None
        self._count_change(must_notify, now_us)
        return must_notify

    def _count_change(self, must_notify: bool, now_us: int) -> None:
        if must_notify:
            self.generation += 1
            self.changed_us = now_us


@dataclass(slots=True)
class ScanSchedule:
    """When the next safety scan begins: once a second, or less often where scans cost too much CPU."""

    period_us: int = SCAN_PERIOD_US
    last_duration_us: int = 0  # for how long the last scan ran, by the clock
    scans: int = 0

    def scan_ended(self, cost_us: int, lasted_us: int) -> None:
        """Note the end of a scan, the CPU time that it cost, and how long it lasted."""
        self.scans += 1
        self.last_duration_us = lasted_us
        self.period_us = max(SCAN_PERIOD_US, int(cost_us / SCAN_CPU_FRACTION))

    @property
    def detection_us(self) -> int:
        """Return within which time a change is seen without a notification, apart from the time to settle."""
        return self.period_us + self.last_duration_us

    @property
    def too_slow(self) -> bool:
        """Whether a drain may be seen too late where notifications fail."""
        return self.detection_us + RECHECK_INTERVAL_US > MAX_DRAIN_DETECTION_US


@dataclass(slots=True)
class InForce:
    """What subscribers have accepted; its digest is the same in each process that has accepted the same."""

    generation: int = 0  # grows with each change that comes into force in this process
    configuration_digest: str = ""  # the digest of the operator's file
    accepted: dict[tuple[str, SourceKey], str] = field(default_factory=dict)  # digests, by subscriber

    def accept(self, subscriber: str, key: SourceKey, digest: str) -> None:
        """Note that this content is in force for a subscriber."""
        if self.accepted.get((subscriber, key)) != digest:
            self.accepted[subscriber, key] = digest
            self.generation += 1

    def drop(self, subscriber: str, key: SourceKey) -> None:
        """Note that a subscriber follows a source no more."""
        if self.accepted.pop((subscriber, key), None) is not None:
            self.generation += 1

    def use_configuration(self, digest: str) -> None:
        """Note that an operator's file has come into force."""
        if self.configuration_digest != digest:
            self.configuration_digest = digest
            self.generation += 1

    def digest(self) -> str:
        """Compute the digest of all that is in force, with the operator's file."""
        lines = sorted(f"{who}\0{key.path}\0{digest}\n" for (who, key), digest in self.accepted.items())
        return hashlib.sha256(f"{self.configuration_digest}\n{''.join(lines)}".encode()).hexdigest()


def version_status(version: SourceVersion, subscribers: list[str], now_us: int) -> dict[str, Any]:
    """Report one source for operators; times in seconds ago."""

    def ago(at_us: int | None) -> float | None:
        return round((now_us - at_us) / 1e6, 3) if at_us else None

    return {
        "state": version.state.value,
        "generation": version.generation,
        "version": version.version,
        "digest": version.digest,
        "servers": version.endpoint_count,
        "read_s_ago": ago(version.read_us),
        "changed_s_ago": ago(version.changed_us),
        "refusal": version.rejection,
        "hung_for_s": ago(version.hung_since_us),
        "subscribers": subscribers,
    }
