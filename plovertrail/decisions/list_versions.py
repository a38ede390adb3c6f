"""Tracks the content that a process has read from its sources, and a digest of all content in force.

The file reader (`plovertrail/sources/list_reader.py`) reports the outcome of each read and asks what to read
next. Times are arguments, in microseconds of one monotonic clock.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import Any

# Safety scans find changes for which no file notification came.
SCAN_PERIOD_US = 1_000_000  # longer if scans would exceed SCAN_CPU_FRACTION
SCAN_CPU_FRACTION = 0.01  # of one core, for safety scans
MAX_DRAIN_DETECTION_US = 2_000_000  # within which a drain in a file must be detected without notifications
RECHECK_INTERVAL_US = 200_000  # between two reads of a file that has just changed or is still changing


class SourceKind(enum.Enum):
    """The kind of a source's content."""

    LIST = "list"  # of endpoints or of instances
    PLAIN = "file"  # parsed by its subscriber, like the operator's file; only its digest is tracked


@dataclass(frozen=True, slots=True)
class SourceKey:
    """A file, or a directory whose files form one list, and how it is read."""

    path: str
    checksum: bool = True
    kind: SourceKind = SourceKind.LIST

    @property
    def name(self) -> str:
        """Return the source's name in lists, reports and the state file."""
        return f"file:{self.path}"


class ReadState(enum.Enum):
    """The outcome of the last read of a source; the values are shown to operators."""

    UNREAD = "not read yet"
    UNSETTLED = "changes still"
    GOOD = "good"
    REFUSED = "refused"
    HUNG = "hangs"
    UNTRIED = "not tried, as too many reads hang"


@dataclass(slots=True)
class SourceVersion:
    """The content last read from one source, and the state of reading it."""

    key: SourceKey
    state: ReadState = ReadState.UNREAD
    generation: int = 0  # counts the notifications of subscribers in this process
    read_us: int = 0  # when its content was last read or found unchanged; 0 = never
    changed_us: int = 0  # when `generation` last grew
    version: int = 0  # as stated in the file; 0 = none
    digest: str = ""  # SHA-256 of the last accepted content
    endpoint_count: int = 0
    rejection: str = ""  # why its content was rejected; empty if it was accepted
    hung_since_us: int | None = None

    @property
    def problem(self) -> str:
        """Return what is wrong with the source, or an empty string."""
        if self.state is ReadState.HUNG:
            return "a read of it hangs"
        return f"it is {self.state.value}" if self.state is ReadState.UNTRIED else self.rejection

    @property
    def is_hung(self) -> bool:
        """Whether its last read has not returned, or could not be started."""
        return self.state in (ReadState.HUNG, ReadState.UNTRIED)

    def list_accepted(
        self, version: int, digest: str, endpoint_count: int, changed: bool, now_us: int
    ) -> bool:
        """Record accepted content; return whether subscribers must be notified."""
        must_notify = changed or self.state is not ReadState.GOOD or self.digest != digest
        self.version = version
        self.digest = digest
        self.endpoint_count = endpoint_count
        self.rejection = ""
        return self._read_ended(ReadState.GOOD, must_notify, now_us)

    def list_rejected(self, problem: str, now_us: int) -> bool:
        """Record rejected content; return whether subscribers must be notified."""
        must_notify = self.state is not ReadState.REFUSED or self.rejection != problem
        self.rejection = problem
        return self._read_ended(ReadState.REFUSED, must_notify, now_us)

    def not_settled(self, now_us: int) -> None:
        """Record that the content is still changing.

        The last reported state stays, unless nothing was reported yet or the last report was a hang.
        """
        if self.state is ReadState.UNREAD or self.is_hung:
            self.state = ReadState.UNSETTLED
        self.hung_since_us = None
        self.read_us = now_us

    def read_hangs(self, tried: bool, now_us: int) -> bool:
        """Record that a read hangs, or could not be started; return whether subscribers must be notified."""
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
    """The period of safety scans: SCAN_PERIOD_US, or longer where scans cost too much CPU time."""

    period_us: int = SCAN_PERIOD_US
    last_duration_us: int = 0  # elapsed time of the last scan
    scans: int = 0

    def scan_ended(self, cost_us: int, lasted_us: int) -> None:
        """Record the end of a scan with its CPU time and its elapsed time."""
        self.scans += 1
        self.last_duration_us = lasted_us
        self.period_us = max(SCAN_PERIOD_US, int(cost_us / SCAN_CPU_FRACTION))

    @property
    def detection_us(self) -> int:
        """Return the time to detect a change without a notification, before any time to settle."""
        return self.period_us + self.last_duration_us

    @property
    def too_slow(self) -> bool:
        """Whether a drain may be detected too late if notifications fail."""
        return self.detection_us + RECHECK_INTERVAL_US > MAX_DRAIN_DETECTION_US


@dataclass(slots=True)
class AcceptedContent:
    """The content that subscribers have accepted.

    Its digest is the same in all processes that have accepted the same content.
    """

    generation: int = 0  # grows with each change that comes into force in this process
    configuration_digest: str = ""  # of the operator's file
    accepted: dict[tuple[str, SourceKey], str] = field(default_factory=dict)  # digests

    def accept(self, subscriber: str, key: SourceKey, digest: str) -> None:
        """Record that this content is in force for a subscriber."""
        if self.accepted.get((subscriber, key)) != digest:
            self.accepted[subscriber, key] = digest
            self.generation += 1

    def drop(self, subscriber: str, key: SourceKey) -> None:
        """Record that a subscriber no longer follows a source."""
        if self.accepted.pop((subscriber, key), None) is not None:
            self.generation += 1

    def use_configuration(self, digest: str) -> None:
        """Record that an operator's file has come into force."""
        if self.configuration_digest != digest:
            self.configuration_digest = digest
            self.generation += 1

    def digest(self) -> str:
        """Compute the digest of all content in force, including the operator's file."""
        lines = sorted(f"{who}\0{key.path}\0{digest}\n" for (who, key), digest in self.accepted.items())
        return hashlib.sha256(f"{self.configuration_digest}\n{''.join(lines)}".encode()).hexdigest()


def version_status(version: SourceVersion, subscribers: list[str], now_us: int) -> dict[str, Any]:
    """Return the status of one source for operators; times are ages in seconds."""

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
