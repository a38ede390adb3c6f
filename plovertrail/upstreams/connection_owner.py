"""What a connection to an endpoint needs of the pool that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from plovertrail.decisions.response_attribution import ResponseAttribution
from plovertrail.problem_log import ProblemLog
from plovertrail.upstreams.response_reader import ResponseRules
from plovertrail.upstreams.stray_messages import StrayMessages

if TYPE_CHECKING:
    from plovertrail.upstreams.connection import Connection


class ConnectionOwner(Protocol):
    """What a connection needs of its pool."""

    @property
    def rules(self) -> ResponseRules:
        """Which responses are accepted."""

    @property
    def problems(self) -> ProblemLog:
        """Where closed connections and unexpected bytes are reported."""

    @property
    def attribution(self) -> ResponseAttribution:
        """Statistics on the stray messages and response times of the endpoints."""

    @property
    def strays(self) -> StrayMessages:
        """Where messages that no request asked for are recorded."""

    def turn_is_stale(self) -> bool:
        """Whether the process was paused during this iteration of the event loop."""

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection for later requests, or close it."""

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a connection broke when it was reused after this idle time."""

    def add(self, connection: Connection) -> int:
        """Add a connection to the pool; returns its number."""

    def remove(self, connection: Connection) -> None:
        """Remove a connection from the pool."""
