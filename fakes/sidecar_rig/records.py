"""What servers and clients record of each request; the oracle judges by these alone."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass, field


class Effect(enum.Enum):
    """What may be done with a request that may have run."""

    UNSAFE = "unsafe"
    KEYED = "keyed"
    SAFE = "safe"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests."""

    name: str
    effect: Effect
    objective_s: float
    deadline_s: float
    window_s: float = 0.0  # for how long a server's group knows the key of a request


@dataclass(slots=True)
class Run:
    """A server took a request: its last byte had come."""

    request_id: str
    server: str
    group: int
    began_s: float
    whole: bool = False  # the answer was written whole


@dataclass(slots=True)
class ClientRecord:
    """A request as its client saw it."""

    request_id: str
    kind: RequestKind
    sent_s: float
    ended_s: float = 0.0
    status: int = 0  # 0: no answer
    body: bytes = b""
    left: bool = False  # the client closed its connection before the answer
    errors: list[str] = field(default_factory=list)  # of its connections, in order


@dataclass(slots=True)
class Records:
    """All records of one play."""

    clients: dict[str, ClientRecord] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    strays: dict[str, int] = field(default_factory=dict)  # by kind, how many were sent
    started_s: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Seconds since the play began."""
        return time.monotonic() - self.started_s

    def add_run(self, run: Run) -> None:
        """Record that a server took a request."""
        self.runs.setdefault(run.request_id, []).append(run)

    def count_stray(self, kind: str) -> None:
        """Count a message that no request asked for."""
        self.strays[kind] = self.strays.get(kind, 0) + 1
