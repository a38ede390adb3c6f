"""The listeners for HTTP clients, as an operator's file configures them."""

from __future__ import annotations

import socket

from plovertrail.config.setup import ListenerSetup
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.generation import CurrentGeneration
from plovertrail.listeners.connection_state import ConnectionTimeouts
from plovertrail.listeners.http_connection import HttpConnection
from plovertrail.listeners.http_forwarding import RequestForwarder
from plovertrail.listeners.incomplete_requests import IncompleteRequests
from plovertrail.listeners.listener import Listener
from plovertrail.listeners.websocket_service import WebSocketService


class HttpListener(Listener):
    """One HTTP listener of the configuration."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        current: CurrentGeneration,
        listener: ListenerSetup,
        websockets: WebSocketService,
    ) -> None:
        super().__init__(dispatcher, listener.max_connections, _timeouts(listener))
        self.current = current
        self.websockets = websockets
        self.setup = listener
        self.forwarder = RequestForwarder(listener, websockets)
        self.incomplete: IncompleteRequests[HttpConnection] = IncompleteRequests(0)

    def limit_incomplete(self, client: HttpConnection) -> None:
        """Record an incomplete request; reject those that have stalled for longest over the limit."""
        limits = self.current.generation.setup.limits
        self.incomplete.max_bytes = max(limits.max_incomplete, limits.max_head + limits.max_body)
        self.incomplete.record(client, client.received_bytes)
        while (stalled := self.incomplete.pop_excess()) is not None:
            self.dispatcher.problems.report("request_rejected_for_memory", self.incomplete.describe)
            stalled.reject_for_memory()

    def configure(self, listener: ListenerSetup) -> None:
        """Apply a new configuration; the address stays the same."""
        self.setup = listener
        self.max_clients = listener.max_connections
        self.timeouts = _timeouts(listener)
        self.forwarder.configure(listener)

    def make_connection(self, sock: socket.socket) -> HttpConnection:
        """Return the protocol object of a new connection."""
        return HttpConnection(self, sock)


def _timeouts(listener: ListenerSetup) -> ConnectionTimeouts:
    return ConnectionTimeouts.of(listener.read_us / 1e6, listener.idle_us / 1e6)
