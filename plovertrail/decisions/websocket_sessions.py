"""The lifecycle of WebSocket sessions: handshake, open, closing, ended with a cause.

Which endpoint a handshake goes to and whether it is retried is decided by the load balancer, as for any
request. This module decides the rest: whether there is capacity for one more session, what its peers may do,
when they are pinged, and how a session ends when its endpoint drains or is removed, the daemon shuts down,
or its route is no longer configured. Events in, actions out. Times are whole microseconds on the process's
own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from typing import Any, cast

from plovertrail.decisions import websocket_closing as closing
from plovertrail.decisions import websocket_messages as messages
from plovertrail.decisions.websocket_capacity import SessionCapacity
from plovertrail.decisions.websocket_messages import CLIENT, CloseCause, EndpointChange, Side
from plovertrail.decisions.websocket_schedule import BATCH_INTERVAL_US, CheckSchedule, ClosePlanner
from plovertrail.decisions.websocket_session import Phase, WebSocketSession

BATCH_SIZE = 32  # sessions checked in one call; checking thousands at once would block the event loop
MESSAGE_END_CHECK_US = 20_000  # between checks for the end of a message that a close waits for


class WebSocketSessions:
    """All sessions of a daemon; their number is bounded by the connections of the listeners."""

    def __init__(self, seed: int) -> None:
        self.sessions: dict[int, WebSocketSession] = {}
        self.capacity = SessionCapacity()
        self.shutting_down = False
        self.checks = CheckSchedule()
        self.closes = ClosePlanner(seed, self.checks)
        self.now_us = 0
        self.actions: list[messages.Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            messages.HandshakeRequested: self._on_handshake_requested,
            messages.EndpointChanged: self._on_endpoint_changed,
            messages.SessionsWithdrawn: self._on_withdrawn,
            messages.ShutdownStarted: self._on_shutdown,
            messages.TimerFired: self._on_timer,
        }
        self._session_handlers: dict[type, Callable[[WebSocketSession, Any], None]] = {
            messages.EndpointAssigned: self._on_endpoint_assigned,
            messages.HandshakeSent: self._on_handshake_sent,
            messages.HandshakeFailed: self._on_handshake_failed,
            messages.HandshakeAccepted: self._on_handshake_accepted,
            messages.SessionOpened: self._on_opened,
            messages.HandshakeAbandoned: self._on_handshake_abandoned,
            messages.CloseReceived: self._on_close_received,
            messages.ConnectionLost: self._on_connection_lost,
            messages.ProtocolViolated: self._on_protocol_violated,
            messages.WritingPaused: self._on_writing_paused,
            messages.WritingResumed: self._on_writing_resumed,
        }

    def configure(self, per_endpoint: Mapping[str, int], per_pool: Mapping[str, int]) -> None:
        """Bound the sessions of each endpoint and of each pool; open sessions beyond that stay."""
        self.capacity.configure(per_endpoint, per_pool)

    def full_endpoints(self, pool: str) -> Set[int]:
        """Return the endpoints of a pool that may take no further session, as a live view."""
        return self.capacity.full_endpoints(pool)

    def handle(self, now_us: int, event: messages.Event) -> list[messages.Action]:
        """Handle one event; return the actions to carry out, in order."""
        self.now_us = now_us
        self.actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        else:
            session = self.sessions.get(cast(messages.SessionEvent, event).session_id)
            if session is not None:
                self._session_handlers[type(event)](session, event)
        timer_us = self.checks.timer_to_set_us(self.now_us)
        if timer_us is not None:
            self.actions.append(messages.SetTimer(timer_us))
        return self.actions

    # Handshake

    def _on_handshake_requested(self, event: messages.HandshakeRequested) -> None:
        session = WebSocketSession(event.session_id, event.limits, event.tenant, self.now_us)
        cause = self._rejection_cause(event)
        self.sessions[event.session_id] = session
        self.capacity.add_to_tenant(event.tenant)
        if cause is not None:
            retry_after_us = self.closes.reconnect_after_us(event.limits)
            self.actions.append(messages.RejectHandshake(event.session_id, cause, retry_after_us))
            self._end(session, cause)

    def _rejection_cause(self, event: messages.HandshakeRequested) -> CloseCause | None:
        if self.shutting_down:
            return CloseCause.SHUTTING_DOWN
        if event.log_full:
            return CloseCause.LOG_FULL
        max_per_tenant = event.limits.max_per_tenant
        if max_per_tenant and self.capacity.by_tenant.get(event.tenant, 0) >= max_per_tenant:
            return CloseCause.TENANT_LIMIT
        return None

    def _on_endpoint_assigned(self, session: WebSocketSession, event: messages.EndpointAssigned) -> None:
        if session.phase is Phase.REQUESTED and self.capacity.assign(session, event.endpoint):
            session.phase = Phase.ASSIGNED
        else:
            self.actions.append(messages.DeclineEndpoint(session.session_id))

    def _on_handshake_sent(self, session: WebSocketSession, _: messages.HandshakeSent) -> None:
        if session.phase is Phase.ASSIGNED:
            session.phase = Phase.HANDSHAKE

    def _on_handshake_failed(self, session: WebSocketSession, _: messages.HandshakeFailed) -> None:
        self.capacity.release(session)
        session.phase = Phase.REQUESTED
        session.endpoint = None
        session.endpoint_declined = False

    def _on_handshake_accepted(self, session: WebSocketSession, _: messages.HandshakeAccepted) -> None:
        if session.endpoint_declined or session.phase is not Phase.HANDSHAKE:
            # a draining or removed endpoint gets no new session
            self.actions.append(messages.DeclineEndpoint(session.session_id))

    def _on_handshake_abandoned(self, session: WebSocketSession, event: messages.HandshakeAbandoned) -> None:
        if session.phase not in (Phase.OPEN, Phase.CLOSING):
            self._end(session, event.cause)

    def _on_opened(self, session: WebSocketSession, _: messages.SessionOpened) -> None:
        if session.phase is not Phase.HANDSHAKE:
            return
        pending_cause = session.close_at_cause
        session.open(self.now_us)
        self.closes.close_at_lifetime(session)
        if self.shutting_down or pending_cause is not None:
            self.closes.drain(session, pending_cause or CloseCause.SHUTDOWN, self.now_us)
        self._check(session)

    # Drains, removals, shutdown

    def _on_endpoint_changed(self, event: messages.EndpointChanged) -> None:
        sessions = list(self.capacity.by_endpoint.get(event.endpoint, {}).values())
        for index, session in enumerate(sessions):
            if session.phase in (Phase.ASSIGNED, Phase.HANDSHAKE):
                session.endpoint_declined = event.change is not EndpointChange.READY
            elif event.change is EndpointChange.DRAINING:
                self.closes.drain(session, CloseCause.ENDPOINT_DRAINING, self.now_us)
            elif session.phase is not Phase.OPEN:
                continue
            elif event.change is EndpointChange.REMOVED:
                at_us = self.now_us + index // BATCH_SIZE * BATCH_INTERVAL_US
                self.closes.close_no_later_than(session, at_us, CloseCause.ENDPOINT_REMOVED)
            elif session.close_at_cause is CloseCause.ENDPOINT_DRAINING:
                self.closes.cancel_drain(session)

    def _on_withdrawn(self, event: messages.SessionsWithdrawn) -> None:
        for session_id in event.session_ids:
            if session_id in self.sessions:
                self.closes.drain(self.sessions[session_id], event.cause, self.now_us)

    def _on_shutdown(self, _: messages.ShutdownStarted) -> None:
        self.shutting_down = True
        for session in list(self.sessions.values()):
            self.closes.drain(session, CloseCause.SHUTDOWN, self.now_us)

    # Closing

    def _on_protocol_violated(self, session: WebSocketSession, event: messages.ProtocolViolated) -> None:
        if session.phase is Phase.OPEN:
            self._close(session, event.cause, event)
        elif event.cause in (CloseCause.CLIENT_PROTOCOL_ERROR, CloseCause.SERVER_PROTOCOL_ERROR):
            # A peer that breaks the protocol in the closing phase would otherwise be read until that times
            # out. One that only exceeds a limit is not aborted: it would lose the close frame that says so.
            self._abort(session)

    def _close(
        self,
        session: WebSocketSession,
        cause: CloseCause,
        violation: messages.ProtocolViolated | None = None,
    ) -> None:
        """Start the closing handshake with both peers."""
        closing.begin(session, cause, self.now_us)
        self.actions += closing.send_both_closes(session, cause, violation, self.closes)
        self._check(session)
        self._finish_closing(session)

    def _on_close_received(self, session: WebSocketSession, event: messages.CloseReceived) -> None:
        peer = session.peers[event.side]
        if session.phase not in (Phase.OPEN, Phase.CLOSING) or peer.close_received:
            return
        peer.close_received = event.code
        if session.phase is Phase.OPEN:
            cause = CloseCause.CLIENT_CLOSED if event.side is CLIENT else CloseCause.SERVER_CLOSED
            closing.begin(session, cause, self.now_us)
            self._check(session)
        self.actions += closing.send_close(session, event.side.other, event.code, event.reason)
        self._finish_closing(session)

    def _on_connection_lost(self, session: WebSocketSession, event: messages.ConnectionLost) -> None:
        session.peers[event.side].connection_lost = True
        if session.phase is Phase.OPEN:
            self._close(session, CloseCause.CLIENT_LOST if event.side is CLIENT else CloseCause.SERVER_LOST)
        elif session.phase is Phase.CLOSING:
            # the lost peer cannot reply any more, so the other one gets its reply from here
            self.actions += closing.answer_close(session, event.side.other)
            self._finish_closing(session)

    def _finish_closing(self, session: WebSocketSession) -> None:
        self.actions += closing.finished_connections(session)
        if all(peer.connection_lost for peer in session.peers):
            self._end(session, session.cause or CloseCause.CLIENT_LOST)

    def _abort(self, session: WebSocketSession) -> None:
        self.actions.append(messages.Abort(session.session_id))
        self._end(session, session.cause or CloseCause.CLIENT_LOST)

    def _end(self, session: WebSocketSession, cause: CloseCause) -> None:
        """End a session; nothing else does."""
        session.phase = Phase.ENDED
        session.cause = cause
        session.ended_us = self.now_us
        del self.sessions[session.session_id]
        self.capacity.release(session)
        self.capacity.remove_from_tenant(session.tenant)
        self.actions.append(messages.SessionEnded(session))

    # Checks

    def _on_writing_paused(self, session: WebSocketSession, event: messages.WritingPaused) -> None:
        session.peers[event.side].blocked_us = self.now_us
        self.checks.add(session, self.now_us + session.limits.write_timeout_us)

    def _on_writing_resumed(self, session: WebSocketSession, event: messages.WritingResumed) -> None:
        session.peers[event.side].blocked_us = 0
        # the other peer was not read in the meantime, so its silence does not count
        session.received(event.side.other, self.now_us)

    def _on_timer(self, _: messages.TimerFired) -> None:
        self.checks.timer_us = 0
        for _check in range(BATCH_SIZE):
            session = self.checks.pop_due(self.sessions, self.now_us)
            if session is None:
                return
            self._check(session)

    def _check(self, session: WebSocketSession) -> None:
        """Do what is due for a session and schedule its next check."""
        if session.phase is Phase.CLOSING:
            self._check_closing(session)
        elif session.phase is Phase.OPEN and not self._close_if_planned(session):
            self._check_open(session)

    def _check_closing(self, session: WebSocketSession) -> None:
        if self.now_us < session.abort_us:
            self.checks.add(session, session.abort_us)
            return
        # a peer that sent a close frame gets its reply although the other one is unresponsive
        for side in Side:
            self.actions += closing.answer_close(session, side)
        self._abort(session)

    def _close_if_planned(self, session: WebSocketSession) -> bool:
        """Close a session whose planned close is due; return whether it is closed now."""
        if not session.close_at_us or self.now_us < session.close_at_us or session.close_at_cause is None:
            return False
        if session.must_close_now(self.now_us):
            self._close(session, session.close_at_cause)
            return True
        self.checks.add(session, self.now_us + MESSAGE_END_CHECK_US)
        return False

    def _check_open(self, session: WebSocketSession) -> None:
        idle_us = session.last_message_us + session.limits.idle_us
        if self.now_us >= idle_us:
            self._close(session, CloseCause.IDLE)
            return
        next_us = idle_us
        if session.close_at_us > self.now_us:
            next_us = min(next_us, session.close_at_us)
        for side in Side:
            check = session.check_peer(side, self.now_us)
            if check.close is not None:
                self._close(session, check.close)
                return
            if check.ping:
                self.actions.append(messages.SendPing(session.session_id, side))
            next_us = min(next_us, check.next_check_us)
        self.checks.add(session, next_us)
