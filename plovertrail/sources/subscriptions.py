"""Who follows a file, and how far each of them has been told what was read of it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import InForce, SourceKey, SourceVersion
from plovertrail.sources.read_workers import ReadJob

Taken = Callable[[EndpointList], Awaitable[str]]  # returns why the list is not in force; empty: it is
Refused = Callable[[str, str], Awaitable[None]]  # called with the source's name and what is wrong


class Reader(Protocol):
    """What subscriptions ask of the reader of files."""

    in_force: InForce

    def queue_delivery(self, subscription: Subscription) -> None:
        """Tell a subscriber in its turn."""

    def unsubscribed(self, subscription: Subscription) -> None:
        """A subscriber follows its source no more."""

    async def look(self, followed: Followed) -> None:
        """Return once a look at the source that began after this call has ended, or hangs."""


@dataclass(eq=False)
class Followed:
    """A source that is read, and who follows it. Changed on the loop only."""

    job: ReadJob
    version: SourceVersion
    candidate: EndpointList | None = None  # the last good content
    settled: bool = False  # the last look found it whole, or wrong for good
    young: bool = False  # it may change again under the same times; set by the worker
    quick: bool = False  # it has quick looks
    folder: bool = False
    linked: bool = False
    subscriptions: list[Subscription] = field(default_factory=list)
    waiters: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)


class Subscription:
    """One subscriber's interest in one source. What it is told is always the latest that was read, so two
    changes never reach it in another order."""

    def __init__(
        self, reader: Reader, followed: Followed, subscriber: str, taken: Taken, refused: Refused
    ) -> None:
        self.reader = reader
        self.followed = followed
        self.subscriber = subscriber
        self.taken = taken
        self.refused = refused
        self.again = False  # the list is to be told though it is not new: it may be judged otherwise now
        self.complaint = ""  # the last one that was told, if no list has been since
        self.delivered = 0  # the generation that was told last
        self.queued = False
        self.stopped = False
        self.lock = asyncio.Lock()

    @property
    def key(self) -> SourceKey:
        """The source that is followed."""
        return self.followed.version.key

    @property
    def digest(self) -> str:
        """Of the last good content."""
        return self.followed.version.digest

    def deliver_again(self) -> None:
        """The guards have changed. Hazard: a list that they refused is not new, and would stay refused."""
        self.again = True
        self.reader.queue_delivery(self)

    async def look(self) -> bool:
        """Read the source once more, from now on, and be told; whether it has settled."""
        await self.reader.look(self.followed)
        await self.deliver()
        return self.followed.settled

    async def deliver(self) -> None:
        """Tell the subscriber what it has not been told yet."""
        async with self.lock:
            version, candidate = self.followed.version, self.followed.candidate
            if self.stopped or (self.delivered == version.generation and not self.again):
                return
            self.delivered, digest = version.generation, version.digest
            if version.complaint:
                if self.complaint != version.complaint:
                    self.complaint = version.complaint
                    await self.refused(version.key.name, self.complaint)
            elif candidate is not None:
                self.again, self.complaint = False, ""
                wrong = await self.taken(candidate)
                if not wrong and not self.stopped:
                    self.reader.in_force.accept(self.subscriber, version.key, digest)

    def stop(self) -> None:
        """Follow the source no more."""
        if not self.stopped:
            self.stopped = True
            self.reader.unsubscribed(self)
