"""Brings in the talk with other instances when it is configured, and keeps its counts through reloads."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from plovertrail.config.problems import ConfigError, Problem
from plovertrail.decisions.limits import KeyedBy, Limiter

if TYPE_CHECKING:
    from plovertrail.config.fellows import FellowsSetup
    from plovertrail.config.peers import PeersSetup
    from plovertrail.config.setup import Setup
    from plovertrail.decisions.counts import Counts
    from plovertrail.decisions.judgements import Judgements
    from plovertrail.peers.talk import PeerTalk
    from plovertrail.sources.list_reader import ListReader


class PeerKeeper:
    """The talk of one daemon, if it has any."""

    def __init__(self, seeds: Callable[[], int], lists: ListReader | None = None) -> None:
        self.seeds = seeds
        self.lists = lists  # reads the list of peers
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
            raise ConfigError(
                setup.path,
                [
                    Problem(
                        "peers.address",
                        f"can't take datagrams on {peers.address[0]}:{peers.address[1]}: {error.strerror}",
                        "write an address that is free here",
                    )
                ],
            ) from None

    def follow(
        self, setup: PeersSetup | None, sock: socket.socket | None, fellows: FellowsSetup | None
    ) -> Counts | None:
        """Talk under a setup; `sock` is there if its address is new. The counts of all instances."""
        talk = self.talk
        if setup is None:
            self.stop()
            return None
        if talk is not None and talk.fits(setup):
            talk.configure(setup)
            talk.follow_fellows(fellows)
            return talk.counts
        if sock is None:
            assert talk is not None
            sock = talk.sock.dup()  # under another name, or over another window, all is counted anew
        self.stop()
        from plovertrail.peers.talk import PeerTalk

        self.talk = PeerTalk(setup, sock, self.seeds(), self.lists)
        self.talk.follow_fellows(fellows)
        return self.talk.counts

    @property
    def judgements(self) -> Judgements | None:
        """What instances tell one another of servers; None: nothing."""
        fellows = self.talk.fellows if self.talk is not None else None
        return fellows.judgements if fellows is not None else None

    def hurry(self, on_news: Callable[[], None]) -> None:
        """What was seen of a server may be news; `on_news` is called with each that is, here or elsewhere."""
        if self.talk is not None and self.talk.fellows is not None:
            self.talk.fellows.on_news = on_news
            self.talk.fellows.hurry()

    def stood_still(self, gap_us: int) -> None:
        """Pass on that the process did nothing for `gap_us`; nothing happens where no fellows are
        configured."""
        if self.talk is not None and self.talk.fellows is not None:
            self.talk.fellows.stood_still(gap_us)

    def fellows_status(self) -> dict[str, Any]:
        """Who is there; nothing where they don't know one another."""
        fellows = self.talk.fellows if self.talk is not None else None
        return fellows.status() if fellows is not None else {}

    def stop(self) -> None:
        """End the talk, if there is any, and close its socket; its counts are given up."""
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
                names |= {
                    limiter.shared_key(tenant.name, ""): f"limiter {name} {tenant.name}"
                    for tenant in setup.tenants
                }
        return self.talk.status(names)
