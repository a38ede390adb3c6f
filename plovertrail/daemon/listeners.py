"""The listeners of a daemon: bound before a configuration is applied, and drained on shutdown."""

from __future__ import annotations

import socket
from collections.abc import Iterable, Mapping
from typing import Protocol

from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import ListenerSetup, Setup
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.generation import CurrentGeneration
from plovertrail.listeners.http_listener import HttpListener
from plovertrail.listeners.websocket_service import WebSocketService

BACKLOG = 1024  # connections that the kernel queues until they are accepted


class ListenerSockets(Protocol):
    """Provides the sockets of listeners; scenario tests replace it, as they open no sockets."""

    def bind(self, address: tuple[str, int]) -> socket.socket:
        """A listening socket; raises OSError."""

    def accept_on(self, listener: HttpListener, sock: socket.socket) -> None:
        """Have a listener accept the connections of a socket."""


class SystemListenerSockets:
    """Provides sockets of the operating system."""

    def bind(self, address: tuple[str, int]) -> socket.socket:
        """A listening socket; raises OSError."""
        return socket.create_server(address, backlog=BACKLOG)

    def accept_on(self, listener: HttpListener, sock: socket.socket) -> None:
        """Have a listener accept the connections of a socket."""
        listener.listen_on(sock)


class ListenerSet:
    """The listeners in force by name, and the removed ones that still have connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        current: CurrentGeneration,
        websockets: WebSocketService,
        sockets: ListenerSockets,
    ) -> None:
        self.dispatcher = dispatcher
        self.current = current
        self.websockets = websockets
        self.sockets = sockets
        self.active: dict[str, HttpListener] = {}
        self.closing: list[HttpListener] = []

    @property
    def all(self) -> tuple[HttpListener, ...]:
        """The active listeners and the closing ones."""
        return (*self.active.values(), *self.closing)

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where the active listeners accept connections, by name."""
        return {name: listener.setup.address for name, listener in self.active.items()}

    def connection_count(self) -> int:
        """How many client connections are open."""
        return sum(listener.count() for listener in self.all)

    def bind(self, setup: Setup) -> dict[str, socket.socket]:
        """Bind listeners that are new or whose address changed; raises ConfigError with every failed bind."""
        bound: dict[str, socket.socket] = {}
        problems = []
        for listener in setup.listeners:
            active = self.active.get(listener.name)
            if active is not None and active.setup.address == listener.address:
                continue
            try:
                bound[listener.name] = self.sockets.bind(listener.address)
            except OSError as error:
                problems.append(_bind_problem(listener, error))
        if problems:
            close_sockets(bound.values())
            raise ConfigError(setup.path, problems)
        return bound

    def apply(self, setup: Setup, bound: Mapping[str, socket.socket]) -> None:
        """Apply a configuration; `bound` has the sockets of listeners that are new or have a new address."""
        self.closing = [listener for listener in self.closing if listener.count()]
        previous = self.active
        self.active = {}
        for configured in setup.listeners:
            name = configured.name
            if name in bound:
                listener = HttpListener(self.dispatcher, self.current, configured, self.websockets)
                self.sockets.accept_on(listener, bound[name])
            else:
                listener = previous.pop(name)
                listener.configure(configured)
            self.active[name] = listener
        for listener in previous.values():
            listener.stop_listening()
            listener.stop_idle()
            self.closing.append(listener)

    def stop_accepting(self) -> None:
        """Accept the connections that are in the backlog, and none after them."""
        for listener in self.all:
            listener.drain_backlog()

    def close_idle(self) -> None:
        """Close the connections that have no open request."""
        for listener in self.all:
            listener.stop_idle()

    def has_open_requests(self) -> bool:
        """Whether a connection may still send a request, or has a response that isn't sent in full."""
        return any(listener.has_pending_responses() for listener in self.all)


def _bind_problem(listener: ListenerSetup, error: OSError) -> Problem:
    host, port = listener.address
    return Problem(
        f"listeners.{listener.name}.address",
        f"can't listen on {host}:{port}: {error.strerror}",
        "write an address that is free on this machine",
    )


def close_sockets(sockets: Iterable[socket.socket]) -> None:
    """Close the sockets of a configuration that is not applied."""
    for sock in sockets:
        sock.close()
