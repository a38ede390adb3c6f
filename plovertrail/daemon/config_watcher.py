"""Reloads the operator's file when it changes, where it sets `reload = "watch"`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from plovertrail.config.setup import Setup
from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import SourceKey, SourceKind
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class ConfigWatcher:
    """Watches the operator's file, and owns the reloads that its changes begin."""

    def __init__(self, lists: ListReader, reload_changed: Callable[[str], Awaitable[None]]) -> None:
        """`reload_changed` is called with the digest of a changed file that has settled."""
        self.lists = lists
        self.reload_changed = reload_changed
        self.digest_in_force = ""
        self.problem = ""  # why the file can't be read; empty: it can, or is not watched
        self.subscription: Subscription | None = None  # None: the file is read on SIGHUP only
        self._reloads: set[asyncio.Task[None]] = set()

    def apply(self, setup: Setup) -> None:
        """Watch the file of the configuration in force, where it sets `reload = "watch"`."""
        self.digest_in_force = setup.digest
        self.problem = ""
        self.lists.in_force.use_configuration(setup.digest)
        key = SourceKey(setup.path, False, SourceKind.PLAIN) if setup.watched else None
        if self.subscription is not None and self.subscription.key != key:
            self.subscription.stop()
            self.subscription = None
        if key is not None and self.subscription is None:
            self.subscription = self.lists.subscribe(key, "operator's file", self._changed, self._unreadable)

    async def _changed(self, _candidate: EndpointList) -> str:
        """Begin a reload of a file that has settled; returns what becomes of the change.

        A reload runs as a task of its own, as it may take minutes with its tests and no list may wait for it.
        """
        self.problem = ""
        if self.subscription is not None and self.subscription.digest != self.digest_in_force:
            task = asyncio.ensure_future(self.reload_changed(self.subscription.digest))
            self._reloads.add(task)
            task.add_done_callback(self._reloads.discard)
        return "a reload brings it into force"

    async def _unreadable(self, source: str, why: str) -> None:
        log.error("configuration file unreadable, the one in force stays file=%s: %s", source, why)
        self.problem = f"{source}: {why}"

    async def close(self) -> None:
        """Cancel the reloads under way, and wait until they have ended."""
        reloads = list(self._reloads)
        for task in reloads:
            task.cancel()
        await asyncio.gather(*reloads, return_exceptions=True)
