"""Keeps all sockets of a daemon: hosts their table, as the host does the Balancers."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.decisions import sockets as api
from plovertrail.decisions.events import EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import Tunnel
from plovertrail.event_log import EventSink
from plovertrail.generation import RoutePlan
from plovertrail.http1.heads import Headers
from plovertrail.listeners.relay import Relay
from plovertrail.websocket.handshake import check_answer, new_key, request_headers

log = logging.getLogger(__name__)

WORDS = {
    EndpointStatus.READY: api.Word.READY,
    EndpointStatus.DRAINING: api.Word.DRAINING,
    EndpointStatus.REMOVED: api.Word.GONE,
}
LONGEST_LOGGED = 64  # characters of a tenant's name


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks for a socket, for the log and for reloads."""

    request_id: bytes
    tenant: bytes
    listener: str
    plan: RoutePlan


class PendingSocket:
    """A handshake on its way through the host (dispatch.types.WebSocketHandshake)."""

    def __init__(
        self, keeper: SocketKeeper, ident: int, asker: Asker, key: bytes, subprotocols: tuple[bytes, ...]
    ) -> None:
        self.keeper = keeper
        self.ident = ident
        self.asker = asker
        self.key = key  # the client's
        self.subprotocols = subprotocols
        self.server = ""  # pool and address of the one chosen last

    def upgrade_request(self) -> tuple[bytes, Headers]:
        """The key and the headers of the handshake that goes to a server."""
        key = new_key()
        return key, request_headers(key, self.subprotocols)

    def checked_subprotocol(self, headers: Headers, key: bytes) -> bytes:
        """The subprotocol that a server's answer chooses; raises ValueError if the answer is wrong."""
        return check_answer(headers, key, self.subprotocols)

    def excluded_endpoints(self, pool: str) -> Set[int]:
        """The servers of a pool that may take no further socket."""
        return self.keeper.table.barred(pool)

    def has_capacity(self, pool: str, serving: Set[int]) -> bool:
        """Whether some server of those that serve may take one more socket."""
        return self.keeper.table.has_room(pool, serving)

    def attempt_begins(self, pool: str, endpoint_id: int, address: tuple[str, int]) -> bool:
        """An attempt goes to a server; false if the socket may not open there."""
        self.server = "{}/{}:{}".format(pool, *address)
        return self.keeper.tell(api.Placed(self.ident, (pool, endpoint_id)))

    def attempt_sent(self) -> None:
        """The first byte of the handshake may be with the server."""
        self.keeper.tell(api.Sent(self.ident))

    def attempt_failed(self) -> None:
        """The attempt brought no socket."""
        self.keeper.tell(api.Missed(self.ident))

    def accept_upgrade(self) -> bool:
        """The server has answered with 101; false if the socket is not wanted there any more."""
        return self.keeper.tell(api.Accepted(self.ident))

    def never_opened(self, cause: api.Cause) -> None:
        """The client has its answer over HTTP, or has gone."""
        self.keeper.tell(api.NeverOpened(self.ident, cause))


class SocketLimitError(Exception):
    """There is no room for one more socket; nothing has run."""

    def __init__(self, cause: api.Cause, retry_after_us: int) -> None:
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after_us = retry_after_us


class SocketKeeper:
    """Owns the table and the relays of open sockets. `ended` is called once for each that was asked for."""

    def __init__(self, dispatcher: Dispatcher, seed: int, lines: EventSink) -> None:
        self.dispatcher = dispatcher
        self.lines = lines
        self.table = api.SocketTable(seed)
        self.idents = itertools.count(1)
        self.askers: dict[int, Asker] = {}
        self.servers: dict[int, str] = {}  # of those that have opened
        self.relays: dict[int, Relay] = {}
        self.ended: Callable[[api.Socket, Asker], None] = lambda socket, asker: None
        self.timer: asyncio.TimerHandle | None = None
        dispatcher.pools.endpoint_observer = self

    # What happens

    def ask(self, asker: Asker, key: bytes, subprotocols: tuple[bytes, ...]) -> PendingSocket:
        """A client's handshake is in order; raises SocketLimitError if there is no room."""
        assert asker.plan.websocket is not None
        ident = next(self.idents)
        self.askers[ident] = asker
        actions = self.table.handle(
            clock_us(), api.Asked(ident, asker.plan.websocket.limits, asker.tenant, self.lines.full)
        )
        self.carry_out(actions)
        for action in actions:
            if isinstance(action, api.TurnAway):
                raise SocketLimitError(action.cause, action.retry_after_us)
        return PendingSocket(self, ident, asker, key, subprotocols)

    def open(
        self,
        pending: PendingSocket,
        client: asyncio.Transport,
        tunnel: Tunnel,
        from_client: bytes,
        client_gone: Callable[[], None],
    ) -> None:
        """Both handshakes are done; from now on the relay owns both connections."""
        socket = self.table.sockets[pending.ident]
        relay = Relay(socket, client, tunnel.transport, self.tell, client_gone)
        self.relays[pending.ident] = relay
        self.servers[pending.ident] = pending.server
        self.tell(api.Opened(pending.ident))
        relay.start(from_client, tunnel.received)

    def endpoints_changed(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        """Word of servers has come."""
        for entry in event.endpoints:
            if (pool.name, entry.id) in self.table.by_server:
                self.tell(api.ServerChanged((pool.name, entry.id), WORDS[entry.state]))
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.id for entry in event.endpoints}
            for name, number in list(self.table.by_server):
                if name == pool.name and number not in listed:
                    self.tell(api.ServerChanged((name, number), api.Word.GONE))

    def reconfigure(
        self, plans: Mapping[str, RoutePlan], pools: Mapping[str, tuple[int, int]], listeners: Iterable[str]
    ) -> None:
        """A new setup is in force; `pools` has the most sockets of each, and of each of its servers."""
        self.table.configure(
            {name: per_server for name, (_, per_server) in pools.items()},
            {name: whole for name, (whole, _) in pools.items()},
        )
        open_at = set(listeners)
        gone = []
        for ident, asker in self.askers.items():
            plan = plans.get(asker.plan.route.name)
            server = self.table.sockets[ident].server
            if (
                plan is None
                or plan.websocket is None
                or asker.listener not in open_at
                or (server is not None and server[0] not in pools)
            ):
                gone.append(ident)
        self.tell(api.Withdrawn(gone))

    def shut_down(self) -> None:
        """The daemon stops."""
        self.tell(api.ShutDown())

    def longest_end_us(self) -> int:
        """Until the last socket has been cut once the daemon stops."""
        return max((socket.limits.longest_end_us for socket in self.table.sockets.values()), default=0)

    # Events in, actions out

    def tell(self, event: api.Event) -> bool:
        """Whether what was asked may go on."""
        actions = self.table.handle(clock_us(), event)
        self.carry_out(actions)
        return not any(isinstance(action, api.Decline) for action in actions)

    def carry_out(self, actions: Iterable[api.Action]) -> None:
        """Carry out actions of the table, each whatever becomes of the others."""
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                # hazard: a fault with one socket must not keep the others from theirs
                log.exception("could not carry out %s", type(action).__name__)

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            if self.timer is not None:
                self.timer.cancel()
            delay_s = max(0, action.at_us - clock_us()) / 1e6
            self.timer = self.dispatcher.loop.call_later(delay_s, self.tell, api.TimerFired())
        elif isinstance(action, api.Ended):
            self._ended(action.socket)
        elif isinstance(action, api.SendClose | api.SendPing | api.Shut | api.Cut):
            relay = self.relays.get(action.ident)
            if relay is None:
                return
            if isinstance(action, api.SendClose):
                relay.send_close(action.side, action.code, action.reason)
            elif isinstance(action, api.SendPing):
                relay.send_ping(action.side)
            elif isinstance(action, api.Shut):
                relay.shut(action.side)
            else:
                relay.cut()

    def _ended(self, socket: api.Socket) -> None:
        asker = self.askers.pop(socket.ident)
        self.relays.pop(socket.ident, None)
        server = self.servers.pop(socket.ident, "")
        if socket.opened_us:
            self.lines.write(log_line(socket, asker, server))
        self.ended(socket, asker)


def log_line(socket: api.Socket, asker: Asker, server: str) -> str:
    """The one line on a socket, written at its end. Of each peer's close codes the one that came is first."""
    codes = [
        f"{seen or '-'}/{sent or '-'}"
        for seen, sent in zip(socket.close_seen, socket.close_sent, strict=True)
    ]
    # hazard: a tenant's name is the client's own word, and may hold what looks like another line
    tenant = json.dumps(asker.tenant.decode("latin-1")[:LONGEST_LOGGED])
    assert socket.cause is not None
    return (
        f"socket id={asker.request_id.decode('latin-1')} tenant={tenant} "
        f"listener={asker.listener} route={asker.plan.route.name} server={server} "
        f"seconds={(socket.ended_us - socket.opened_us) / 1e6:.3f} "
        f"client_messages={socket.messages[0]} client_bytes={socket.bytes[0]} "
        f"server_messages={socket.messages[1]} server_bytes={socket.bytes[1]} "
        f'client_close={codes[0]} server_close={codes[1]} cause="{socket.cause.value}"'
    )
