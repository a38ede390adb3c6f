"""Reloads the operator's configuration file when it changes, if the file sets `reload = "watch"`."""

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
    """Watches the operator's file, and owns the reload tasks that its changes start."""

    def __init__(self, lists: ListReader, reload_changed: Callable[[str], Awaitable[None]]) -> None:
        """`reload_changed` is called with the digest of a changed file once its content is stable."""
        self.lists = lists
        self.reload_changed = reload_changed
        self.digest_in_force = ""
        self.problem = ""  # why the file can't be read; empty if it can be, or if it isn't watched
        self.subscription: Subscription | None = None  # None if the file is read on SIGHUP only
        self._reloads: set[asyncio.Task[None]] = set()

    def apply(self, setup: Setup) -> None:
        """Watch the file of the configuration in force, if it sets `reload = "watch"`."""
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
        """Start a reload of the changed file; returns why its content is not in force yet.

        The reload runs as its own task: with its tests it may take minutes, and reads of lists must not wait.
        """
        self.problem = ""
        if self.subscription is not None and self.subscription.digest != self.digest_in_force:
            task = asyncio.ensure_future(self.reload_changed(self.subscription.digest))
            self._reloads.add(task)
            task.add_done_callback(self._reloads.discard)
        return "a reload applies it"

    async def _unreadable(self, source: str, why: str) -> None:
        log.error("configuration file unreadable, the configuration in force stays file=%s: %s", source, why)
        self.problem = f"{source}: {why}"

    async def close(self) -> None:
        """Cancel the reloads in progress, and wait until they have ended."""
        reloads = list(self._reloads)
        for task in reloads:
            task.cancel()
        await asyncio.gather(*reloads, return_exceptions=True)
