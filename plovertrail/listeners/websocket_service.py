"""The WebSocket sessions of a daemon: their decisions, their relays and their log lines."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.decisions import websocket_messages as messages
from plovertrail.decisions.events import EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.websocket_messages import CloseCause, EndpointChange
from plovertrail.decisions.websocket_session import WebSocketSession
from plovertrail.decisions.websocket_sessions import WebSocketSessions
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import Tunnel
from plovertrail.event_log import EventSink
from plovertrail.generation import RoutePlan
from plovertrail.http1.heads import Headers
from plovertrail.listeners.websocket_relay import WebSocketRelay
from plovertrail.websocket.handshake import check_response, new_key, request_headers

log = logging.getLogger(__name__)

ENDPOINT_CHANGES = {
    EndpointStatus.READY: EndpointChange.READY,
    EndpointStatus.DRAINING: EndpointChange.DRAINING,
    EndpointStatus.REMOVED: EndpointChange.REMOVED,
}
MAX_LOGGED_TENANT = 64  # characters


@dataclass(frozen=True, slots=True)
class HandshakeContext:
    """Where a handshake came from, for the log and for reloads."""

    request_id: bytes
    tenant: bytes
    listener: str
    plan: RoutePlan


class PendingHandshake:
    """A handshake on its way through the dispatcher (dispatch.types.WebSocketHandshake)."""

    def __init__(
        self,
        service: WebSocketService,
        session_id: int,
        context: HandshakeContext,
        client_key: bytes,
        subprotocols: tuple[bytes, ...],
    ) -> None:
        self.service = service
        self.session_id = session_id
        self.context = context
        self.client_key = client_key
        self.subprotocols = subprotocols
        self.endpoint_name = ""  # pool and address of the endpoint that was selected last

    def upgrade_request(self) -> tuple[bytes, Headers]:
        """Return the key and the headers of the handshake that goes to an endpoint."""
        key = new_key()
        return key, request_headers(key, self.subprotocols)

    def checked_subprotocol(self, headers: Headers, key: bytes) -> bytes:
        """Return the subprotocol that an endpoint's answer chooses; raises ValueError if it is wrong."""
        return check_response(headers, key, self.subprotocols)

    def excluded_endpoints(self, pool: str) -> Set[int]:
        """Return the endpoints of a pool that may take no further session."""
        return self.service.sessions.full_endpoints(pool)

    def has_capacity(self, pool: str, serving: Set[int]) -> bool:
        """Whether some endpoint of those that serve may take one more session."""
        return self.service.sessions.capacity.any_has_capacity(pool, serving)

    def attempt_begins(self, pool: str, endpoint_id: int, address: tuple[str, int]) -> bool:
        """An attempt goes to an endpoint; return False if the session may not open there."""
        self.endpoint_name = "{}/{}:{}".format(pool, *address)
        return self.service.handle_event(messages.EndpointAssigned(self.session_id, (pool, endpoint_id)))

    def attempt_sent(self) -> None:
        """The first byte of the handshake may have reached the endpoint."""
        self.service.handle_event(messages.HandshakeSent(self.session_id))

    def attempt_failed(self) -> None:
        """The attempt has ended without a session."""
        self.service.handle_event(messages.HandshakeFailed(self.session_id))

    def accept_upgrade(self) -> bool:
        """The endpoint has answered with 101; return False if the session may not open there any more."""
        return self.service.handle_event(messages.HandshakeAccepted(self.session_id))

    def abandon(self, cause: CloseCause) -> None:
        """The client has its answer over HTTP, or has left."""
        self.service.handle_event(messages.HandshakeAbandoned(self.session_id, cause))


class HandshakeRejectedError(Exception):
    """There is no capacity for one more session; nothing has run."""

    def __init__(self, cause: CloseCause, retry_after_us: int) -> None:
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after_us = retry_after_us


class WebSocketService:
    """Owns the sessions and the relays of the open ones."""

    def __init__(self, dispatcher: Dispatcher, seed: int, event_log: EventSink) -> None:
        self.dispatcher = dispatcher
        self.event_log = event_log
        self.sessions = WebSocketSessions(seed)
        self.session_ids = itertools.count(1)
        self.contexts: dict[int, HandshakeContext] = {}
        self.endpoint_names: dict[int, str] = {}  # of open sessions
        self.relays: dict[int, WebSocketRelay] = {}
        self.observers: list[Callable[[WebSocketSession, HandshakeContext], None]] = []
        self.timer: asyncio.TimerHandle | None = None
        dispatcher.pools.endpoint_observer = self

    def observe_ends(self, observer: Callable[[WebSocketSession, HandshakeContext], None]) -> None:
        """Call `observer` once for each session that was requested, when it has ended."""
        self.observers.append(observer)

    def request(
        self, context: HandshakeContext, client_key: bytes, subprotocols: tuple[bytes, ...]
    ) -> PendingHandshake:
        """Take in a client's handshake; raises HandshakeRejectedError if there is no capacity."""
        assert context.plan.websocket is not None
        session_id = next(self.session_ids)
        self.contexts[session_id] = context
        limits = context.plan.websocket.limits
        event = messages.HandshakeRequested(session_id, limits, context.tenant, self.event_log.full)
        actions = self.sessions.handle(clock_us(), event)
        self._carry_out_all(actions)
        for action in actions:
            if isinstance(action, messages.RejectHandshake):
                raise HandshakeRejectedError(action.cause, action.retry_after_us)
        return PendingHandshake(self, session_id, context, client_key, subprotocols)

    def open(
        self,
        pending: PendingHandshake,
        client: asyncio.Transport,
        tunnel: Tunnel,
        from_client: bytes,
        client_closed: Callable[[], None],
    ) -> None:
        """Both handshakes are done; from now on the relay owns both connections."""
        session = self.sessions.sessions[pending.session_id]
        relay = WebSocketRelay(session, client, tunnel.transport, self.handle_event, client_closed)
        self.relays[pending.session_id] = relay
        self.endpoint_names[pending.session_id] = pending.endpoint_name
        self.handle_event(messages.SessionOpened(pending.session_id))
        relay.start(from_client, tunnel.received)

    def endpoints_changed(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        """A pool's endpoint list has changed."""
        in_use = self.sessions.capacity.by_endpoint
        for endpoint in event.endpoints:
            key = (pool.name, endpoint.id)
            if key in in_use:
                self.handle_event(messages.EndpointChanged(key, ENDPOINT_CHANGES[endpoint.state]))
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {endpoint.id for endpoint in event.endpoints}
            for name, endpoint_id in list(in_use):
                if name == pool.name and endpoint_id not in listed:
                    self.handle_event(messages.EndpointChanged((name, endpoint_id), EndpointChange.REMOVED))

    def reconfigure(
        self, plans: Mapping[str, RoutePlan], pools: Mapping[str, tuple[int, int]], listeners: Iterable[str]
    ) -> None:
        """Put a new setup into force.

        `pools` has the most sessions of each pool, and of each of its endpoints.
        """
        self.sessions.configure(
            {name: per_endpoint for name, (_, per_endpoint) in pools.items()},
            {name: per_pool for name, (per_pool, _) in pools.items()},
        )
        active_listeners = set(listeners)
        withdrawn = [
            session_id
            for session_id, context in self.contexts.items()
            if context.listener not in active_listeners
            or not self._is_configured(session_id, plans.get(context.plan.route.name), pools)
        ]
        self.handle_event(messages.SessionsWithdrawn(withdrawn))

    def _is_configured(
        self, session_id: int, plan: RoutePlan | None, pools: Mapping[str, tuple[int, int]]
    ) -> bool:
        """Whether a session's route still takes sessions and its endpoint's pool still exists."""
        if plan is None or plan.websocket is None:
            return False
        endpoint = self.sessions.sessions[session_id].endpoint
        return endpoint is None or endpoint[0] in pools

    def shut_down(self) -> None:
        """The daemon is shutting down."""
        self.handle_event(messages.ShutdownStarted())

    def max_drain_us(self) -> int:
        """Return the time until the last session has been aborted once the daemon shuts down."""
        sessions = self.sessions.sessions.values()
        return max((session.limits.max_drain_us for session in sessions), default=0)

    # Events in, actions out

    def handle_event(self, event: messages.Event) -> bool:
        """Handle an event; return False if the endpoint was declined."""
        actions = self.sessions.handle(clock_us(), event)
        self._carry_out_all(actions)
        return not any(isinstance(action, messages.DeclineEndpoint) for action in actions)

    def _carry_out_all(self, actions: Iterable[messages.Action]) -> None:
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                # a fault in one session must not keep the others from their actions
                log.exception("websocket action failed action=%s", type(action).__name__)

    def _carry_out(self, action: messages.Action) -> None:
        if isinstance(action, messages.SetTimer):
            self._set_timer(action.at_us)
        elif isinstance(action, messages.SessionEnded):
            self._session_ended(action.session)
        elif isinstance(
            action, messages.SendClose | messages.SendPing | messages.CloseConnection | messages.Abort
        ):
            relay = self.relays.get(action.session_id)
            if relay is not None:
                self._carry_out_on_relay(relay, action)

    @staticmethod
    def _carry_out_on_relay(
        relay: WebSocketRelay,
        action: messages.SendClose | messages.SendPing | messages.CloseConnection | messages.Abort,
    ) -> None:
        if isinstance(action, messages.SendClose):
            relay.send_close(action.side, action.code, action.reason)
        elif isinstance(action, messages.SendPing):
            relay.send_ping(action.side)
        elif isinstance(action, messages.CloseConnection):
            relay.close(action.side)
        else:
            relay.abort()

    def _set_timer(self, at_us: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(0, at_us - clock_us()) / 1e6
        self.timer = self.dispatcher.loop.call_later(delay_s, self.handle_event, messages.TimerFired())

    def _session_ended(self, session: WebSocketSession) -> None:
        context = self.contexts.pop(session.session_id)
        self.relays.pop(session.session_id, None)
        endpoint_name = self.endpoint_names.pop(session.session_id, "")
        if session.opened_us:
            self.event_log.write(log_line(session, context, endpoint_name))
        for observe in self.observers:
            observe(session, context)


def log_line(session: WebSocketSession, context: HandshakeContext, endpoint_name: str) -> str:
    """Return the one line on a session, which is written at its end.

    Of each peer's close codes the received one comes first.
    """
    client, server = session.peers
    # the tenant's name comes from the client and may hold what looks like another line
    tenant = json.dumps(context.tenant.decode("latin-1")[:MAX_LOGGED_TENANT])
    assert session.cause is not None
    return (
        f"socket id={context.request_id.decode('latin-1')} tenant={tenant} "
        f"listener={context.listener} route={context.plan.route.name} server={endpoint_name} "
        f"seconds={(session.ended_us - session.opened_us) / 1e6:.3f} "
        f"client_messages={client.messages_received} client_bytes={client.bytes_received} "
        f"server_messages={server.messages_received} server_bytes={server.bytes_received} "
        f"client_close={client.close_received or '-'}/{client.close_sent or '-'} "
        f"server_close={server.close_received or '-'}/{server.close_sent or '-'} "
        f'cause="{session.cause.value}"'
    )
