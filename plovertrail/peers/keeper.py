"""Brings in the talk with other instances when it is configured, and keeps its counts through reloads."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from plovertrail.config.problems import ConfigError, Problem
from plovertrail.decisions.limits import KeyedBy, Limiter

if TYPE_CHECKING:
    from plovertrail.config.operator import Setup
    from plovertrail.config.peers import PeersSetup
    from plovertrail.decisions.counts import Counts
    from plovertrail.peers.talk import PeerTalk


class PeerKeeper:
    """The talk of one daemon, if it has any."""

    def __init__(self, seeds: Callable[[], int]) -> None:
        self.seeds = seeds
        self.talk: PeerTalk | None = None

    @property
    def counts(self) -> Counts | None:
        """What all instances have counted; None: it talks to none."""
        return self.talk.counts if self.talk is not None else None

    def bind(self, setup: Setup) -> socket.socket | None:
        """The socket of a setup whose address is new; raises ConfigError."""
        peers = setup.peers
        if peers is None or (self.talk is not None and self.talk.setup.address == peers.address):
            return None
        from plovertrail.peers.talk import bind

        try:
            return bind(peers.address)
        except OSError as error:
            raise ConfigError(setup.path, [Problem(
                "peers.address", f"can't take datagrams on {peers.address[0]}:{peers.address[1]}: "
                f"{error.strerror}", "write an address that is free here")]) from None

    def follow(self, setup: PeersSetup | None, sock: socket.socket | None) -> Counts | None:
        """Talk under a setup; `sock` is there if its address is new. The counts of all instances."""
        talk = self.talk
        if setup is None:
            self.stop()
            return None
        if talk is not None and talk.fits(setup):
            talk.configure(setup)
            return talk.counts
        if sock is None:
            assert talk is not None
            sock = talk.sock.dup()  # under another name, or over another window, all is counted anew
        self.stop()
        from plovertrail.peers.talk import PeerTalk

        self.talk = PeerTalk(setup, sock, self.seeds())
        return self.talk.counts

    def stop(self) -> None:
        talk, self.talk = self.talk, None
        if talk is not None:
            talk.stop()

    def status(self, setup: Setup, limiters: Mapping[str, Limiter]) -> dict[str, Any]:
        """What is heard, and what the tenants have used."""
        if self.talk is None:
            return {}
        from plovertrail.decisions.counts import key_of

        names = {key_of("tenant", tenant.name): f"tenant {tenant.name}" for tenant in setup.tenants}
        for name, limiter in limiters.items():
            if limiter.counts is None:
                continue
            if limiter.settings.keyed_by is KeyedBy.ALL:
                names[limiter.shared_key("", "")] = f"limiter {name}"
            elif limiter.settings.keyed_by is KeyedBy.TENANT:
                names[limiter.shared_key("", "")] = f"limiter {name} (others)"
                names |= {limiter.shared_key(tenant.name, ""): f"limiter {name} {tenant.name}"
                          for tenant in setup.tenants}
        return self.talk.status(names)
