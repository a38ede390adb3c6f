"""The state of one WebSocket session and of its two peers.

Times are whole microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from plovertrail.decisions.websocket_messages import (
    CLIENT,
    SERVER,
    CloseCause,
    EndpointKey,
    SessionLimits,
    Side,
)


class Phase(enum.Enum):
    """The phases of a session, in their order."""

    REQUESTED = "requested"
    ASSIGNED = "assigned"  # an endpoint has been selected
    HANDSHAKE = "handshake"  # the endpoint may have seen the handshake
    OPEN = "open"
    CLOSING = "closing"  # a close frame has been sent or received
    ENDED = "ended"


@dataclass(slots=True)
class PeerState:
    """The state of one peer of a session."""

    bytes_received: int = 0  # of messages
    messages_received: int = 0
    partial_bytes: int = 0  # of the message that is being received
    in_message: bool = False
    last_received_us: int = 0
    pinged_us: int = 0  # when the unanswered ping was sent; 0 = none
    blocked_us: int = 0  # since when it has not been reading; 0 = it reads
    close_received: int = 0  # the code; 0 = none
    close_sent: int = 0  # the code; 0 = none
    connection_lost: bool = False

    @property
    def close_handshake_done(self) -> bool:
        """Whether close frames have been sent and received."""
        return bool(self.close_sent and self.close_received)


@dataclass(frozen=True, slots=True)
class PeerCheck:
    """The result of checking a peer."""

    next_check_us: int
    ping: bool = False
    close: CloseCause | None = None


@dataclass(eq=False, slots=True)
class WebSocketSession:
    """One session, from its handshake to its end; `peers` is indexed by `Side`."""

    session_id: int
    limits: SessionLimits
    tenant: bytes
    requested_us: int
    phase: Phase = Phase.REQUESTED
    endpoint: EndpointKey | None = None
    endpoint_declined: bool = False  # it drains or was removed while the handshake was in flight
    opened_us: int = 0
    ended_us: int = 0
    cause: CloseCause | None = None
    peers: tuple[PeerState, PeerState] = field(default_factory=lambda: (PeerState(), PeerState()))
    last_message_us: int = 0
    tokens: float = 0.0  # messages that the client may send now
    tokens_us: int = 0  # when `tokens` was updated
    close_at_us: int = 0  # when this process will close it; 0 = not planned
    close_at_cause: CloseCause | None = None
    abort_us: int = 0  # when the closing handshake times out
    next_check_us: int = 0

    def received(self, side: Side, now_us: int) -> None:
        """Record that bytes of a peer have been received."""
        peer = self.peers[side]
        peer.last_received_us = now_us
        peer.pinged_us = 0

    def message_part_received(self, side: Side, now_us: int, size: int, final: bool) -> CloseCause | None:
        """Count a part of a message; return why the session has to close, or None."""
        peer = self.peers[side]
        self.last_message_us = now_us
        peer.bytes_received += size
        peer.partial_bytes += size
        if peer.partial_bytes > self.limits.max_message:
            if side is CLIENT:
                return CloseCause.CLIENT_MESSAGE_TOO_BIG
            return CloseCause.SERVER_MESSAGE_TOO_BIG
        peer.in_message = not final
        if not final:
            return None
        peer.partial_bytes = 0
        peer.messages_received += 1
        return self.count_message(side, now_us)

    def count_message(self, side: Side, now_us: int) -> CloseCause | None:
        """Take a token for a message or control frame of the client; return why to close, or None."""
        rate = self.limits.messages_per_s
        if side is SERVER or not rate:
            return None
        refilled = self.tokens + (now_us - self.tokens_us) * rate / 1e6
        self.tokens = min(refilled, float(self.limits.burst)) - 1.0
        self.tokens_us = now_us
        return CloseCause.MESSAGE_RATE_EXCEEDED if self.tokens < 0.0 else None

    def open(self, now_us: int) -> None:
        """Enter the open phase and start its timeouts."""
        self.phase = Phase.OPEN
        self.opened_us = now_us
        self.last_message_us = now_us
        for peer in self.peers:
            peer.last_received_us = now_us
        self.tokens = float(self.limits.burst)
        self.tokens_us = now_us

    def must_close_now(self, now_us: int) -> bool:
        """Whether a planned close is due and does not have to wait for the end of a message."""
        waits = self.close_at_cause is not CloseCause.ENDPOINT_REMOVED and any(
            peer.in_message for peer in self.peers
        )
        return not waits or now_us >= self.close_at_us + self.limits.close_timeout_us

    def check_peer(self, side: Side, now_us: int) -> PeerCheck:
        """Return whether a peer has to be pinged or closed, and when to check it next."""
        limits = self.limits
        peer = self.peers[side]
        if peer.blocked_us:
            return self._check_blocked(side, now_us)
        if self.peers[side.other].blocked_us:
            # this peer is not read while the other one is blocked, so it cannot answer pings
            return PeerCheck(now_us + limits.ping_interval_us)
        if peer.pinged_us:
            pong_due_us = peer.pinged_us + limits.pong_timeout_us
            if now_us < pong_due_us:
                return PeerCheck(pong_due_us)
            unresponsive = (
                CloseCause.CLIENT_UNRESPONSIVE if side is CLIENT else CloseCause.SERVER_UNRESPONSIVE
            )
            return PeerCheck(0, close=unresponsive)
        ping_us = peer.last_received_us + limits.ping_interval_us
        if now_us < ping_us:
            return PeerCheck(ping_us)
        peer.pinged_us = now_us
        return PeerCheck(now_us + limits.pong_timeout_us, ping=True)

    def _check_blocked(self, side: Side, now_us: int) -> PeerCheck:
        write_due_us = self.peers[side].blocked_us + self.limits.write_timeout_us
        if now_us < write_due_us:
            return PeerCheck(write_due_us)
        return PeerCheck(0, close=CloseCause.CLIENT_SLOW if side is CLIENT else CloseCause.SERVER_SLOW)
