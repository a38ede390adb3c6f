"""The daemon's interface to the exchange with other instances; reloads keep the transport if they can."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from plovertrail.config.problems import ConfigError, Problem
from plovertrail.decisions.rate_limits import KeyedBy, RateLimiter

if TYPE_CHECKING:
    from plovertrail.config.cluster_membership import MembershipSetup
    from plovertrail.config.peers import PeersSetup
    from plovertrail.config.setup import Setup
    from plovertrail.decisions.outlier_detection import OutlierDetector
    from plovertrail.decisions.shared_counters import SharedCounters
    from plovertrail.peers.membership_transport import MembershipTransport
    from plovertrail.peers.transport import PeerTransport
    from plovertrail.sources.list_reader import ListReader


class PeerService:
    """Owns the transport to other instances, if peers are configured."""

    def __init__(self, new_seed: Callable[[], int], lists: ListReader | None = None) -> None:
        self.transport: PeerTransport | None = None
        self._new_seed = new_seed
        self._lists = lists  # reads the peer list

    @property
    def counts(self) -> SharedCounters | None:
        """The shared counters; None if no peers are configured."""
        return self.transport.counters if self.transport is not None else None

    @property
    def membership(self) -> MembershipTransport | None:
        """Cluster membership; None if it is not configured."""
        return self.transport.membership if self.transport is not None else None

    @property
    def outlier_detector(self) -> OutlierDetector | None:
        """The exchanged health evidence; None if none is exchanged."""
        membership = self.membership
        return membership.outlier_detector if membership is not None else None

    def bind(self, setup: Setup) -> socket.socket | None:
        """Return a bound socket if the setup has a new address; raises ConfigError if binding fails."""
        peers = setup.peers
        if peers is None or (self.transport is not None and self.transport.setup.address == peers.address):
            return None
        from plovertrail.peers.transport import bind

        try:
            return bind(peers.address)
        except OSError as error:
            host, port = peers.address
            problem = Problem(
                "peers.address",
                f"can't take datagrams on {host}:{port}: {error.strerror}",
                "write an address that is free here",
            )
            raise ConfigError(setup.path, [problem]) from None

    def apply_setup(
        self, setup: PeersSetup | None, sock: socket.socket | None, membership: MembershipSetup | None
    ) -> SharedCounters | None:
        """Apply a setup, with the socket from `bind` if its address is new; returns the shared counters."""
        if setup is None:
            self.stop()
            return None
        transport = self.transport
        if transport is not None and transport.is_compatible_with(setup):
            transport.configure(setup)
        else:
            transport = self._replace_transport(setup, sock)
        transport.apply_membership(membership)
        return transport.counters

    def _replace_transport(self, setup: PeersSetup, sock: socket.socket | None) -> PeerTransport:
        """Start a new transport with empty counters, as a changed name, address or window requires."""
        from plovertrail.peers.transport import PeerTransport

        if sock is None:
            assert self.transport is not None
            sock = self.transport.sock.dup()
        self.stop()
        self.transport = PeerTransport(setup, sock, self._new_seed(), self._lists)
        return self.transport

    def report_urgently(self, on_urgent_report: Callable[[], None]) -> None:
        """Gossip urgent reports at once, and call `on_urgent_report` for each, own or a peer's."""
        membership = self.membership
        if membership is not None:
            membership.report_urgently(on_urgent_report)

    def process_paused(self, pause_us: int) -> None:
        """Tell cluster membership, if configured, of a pause of this process."""
        membership = self.membership
        if membership is not None:
            membership.process_paused(pause_us)

    def stop(self) -> None:
        """Stop the transport, if there is one: close its socket and drop its counters."""
        transport = self.transport
        self.transport = None
        if transport is not None:
            transport.stop()

    def membership_status(self) -> dict[str, Any]:
        """Return the status of membership; empty if it is not configured."""
        membership = self.membership
        return membership.status() if membership is not None else {}

    def status(self, setup: Setup, limiters: Mapping[str, RateLimiter]) -> dict[str, Any]:
        """Return the status of the peers and the usage of tenants and limiters; empty without peers."""
        if self.transport is None:
            return {}
        from plovertrail.decisions.counter_rows import key_of

        names = {key_of("tenant", tenant.name): f"tenant {tenant.name}" for tenant in setup.tenants}
        for name, limiter in limiters.items():
            if limiter.counts is None:
                continue
            if limiter.settings.keyed_by is KeyedBy.ALL:
                names[limiter.fleet_key("", "")] = f"limiter {name}"
            elif limiter.settings.keyed_by is KeyedBy.TENANT:
                names[limiter.fleet_key("", "")] = f"limiter {name} (others)"
                names |= {
                    limiter.fleet_key(tenant.name, ""): f"limiter {name} {tenant.name}"
                    for tenant in setup.tenants
                }
        return self.transport.status(names)
