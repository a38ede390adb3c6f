"""The closing handshake of a WebSocket session (RFC 6455, section 7)."""

from __future__ import annotations

from plovertrail.decisions.websocket_messages import (
    CLIENT,
    CLOSE_CODES,
    RECONNECT_CODES,
    SERVER,
    CloseCause,
    CloseCode,
    CloseConnection,
    ProtocolViolated,
    SendClose,
    Side,
)
from plovertrail.decisions.websocket_schedule import ClosePlanner
from plovertrail.decisions.websocket_session import Phase, WebSocketSession


def begin(session: WebSocketSession, cause: CloseCause, now_us: int) -> None:
    """Enter the closing phase; the session is aborted if that takes too long."""
    session.phase = Phase.CLOSING
    session.cause = cause
    session.abort_us = now_us + session.limits.close_timeout_us


def send_close(session: WebSocketSession, side: Side, code: int, reason: str) -> list[SendClose]:
    """Return the close frame for a peer, unless one has been sent or its connection is lost."""
    peer = session.peers[side]
    if peer.close_sent or peer.connection_lost:
        return []
    peer.close_sent = code
    return [SendClose(session.session_id, side, code, reason)]


def send_both_closes(
    session: WebSocketSession, cause: CloseCause, violation: ProtocolViolated | None, planner: ClosePlanner
) -> list[SendClose]:
    """Return the close frames with which this process ends a session; each peer has its own code."""
    client_code: int
    server_code: int
    client_code, server_code = CLOSE_CODES[cause]
    client_reason = cause.value
    if violation is not None:
        client_reason = violation.reason or client_reason
        if cause is CloseCause.CLIENT_PROTOCOL_ERROR:
            client_code = violation.code or client_code
        elif cause is CloseCause.SERVER_PROTOCOL_ERROR:
            server_code = violation.code or server_code
    if client_code in RECONNECT_CODES:
        retry_after_s = planner.reconnect_after_us(session.limits) / 1e6
        client_reason = f"{cause.value}; retry-after={retry_after_s:.1f}"
    return [
        *send_close(session, CLIENT, client_code, client_reason),
        *send_close(session, SERVER, server_code, cause.value),
    ]


def answer_close(session: WebSocketSession, side: Side) -> list[SendClose]:
    """Return the reply to the close frame of a peer if the other peer will no longer send one."""
    code = session.peers[side].close_received or CloseCode.GOING_AWAY
    return send_close(session, side, code, "")


def finished_connections(session: WebSocketSession) -> list[CloseConnection]:
    """Return the connections on which close frames have been sent and received."""
    return [
        CloseConnection(session.session_id, side)
        for side in Side
        if session.peers[side].close_handshake_done and not session.peers[side].connection_lost
    ]
