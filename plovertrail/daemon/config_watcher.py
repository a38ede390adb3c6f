"""Follows the operator's own file, where it says `reload = "watch"`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from plovertrail.config.setup import Setup
from plovertrail.decisions.endpoint_list import Candidate
from plovertrail.decisions.list_versions import SourceKey, SourceKind
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class ConfigWatcher:
    """`reload` is called with the digest of a changed file that has settled."""

    def __init__(self, lists: ListReader, reload: Callable[[str], Awaitable[None]]) -> None:
        self.lists = lists
        self.reload = reload
        self.in_force = ""  # the digest of the setup in force
        self.unreadable = ""  # why the file can't be read; empty: it can, or is not followed
        self.subscription: Subscription | None = None  # None: it is read on SIGHUP only
        self.reloads: set[asyncio.Task[None]] = set()

    def follow(self, setup: Setup) -> None:
        """A setup has come into force."""
        self.in_force, self.unreadable = setup.digest, ""
        self.lists.in_force.use_setup(setup.digest)
        key = SourceKey(setup.path, False, SourceKind.PLAIN) if setup.watched else None
        if self.subscription is not None and self.subscription.key != key:
            self.subscription.stop()
            self.subscription = None
        if key is not None and self.subscription is None:
            self.subscription = self.lists.subscribe(key, "operator's file", self._changed, self._refused)

    async def _changed(self, candidate: Candidate) -> str:
        """The file was read and has settled. Hazard: a reload may take minutes with its tests, and no list
        may wait for it."""
        self.unreadable = ""
        if self.subscription is not None and self.subscription.digest != self.in_force:
            task = asyncio.ensure_future(self.reload(self.subscription.digest))
            self.reloads.add(task)
            task.add_done_callback(self.reloads.discard)
        return "a reload brings it into force"

    async def _refused(self, source: str, why: str) -> None:
        log.error("the setup in force stays: %s: %s", source, why)
        self.unreadable = f"{source}: {why}"

    def stop(self) -> None:
        """The daemon ends."""
        for task in self.reloads:
            task.cancel()
