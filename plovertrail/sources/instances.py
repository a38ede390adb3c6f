"""A list of the program's instances in a watched file."""

from __future__ import annotations

import logging
from collections.abc import Callable

from plovertrail.decisions.endpoint_list import EndpointList, ListedEndpoint
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class InstanceList:
    """Reports each new list of instances.

    A list that is unusable or empty is ignored: with an empty list each instance would count itself as the
    only one and use every quota in full.
    """

    def __init__(
        self,
        owner: str,
        on_instances: Callable[[tuple[ListedEndpoint, ...]], None],
        lists: ListReader | None = None,
    ) -> None:
        self.owner = owner  # name of the list's user in log lines and reports
        self.on_instances = on_instances
        self.lists = lists  # None: the list creates a reader of its own while it follows a file
        self.own_reader: ListReader | None = None
        self.read = False  # a list from the current file has been reported
        self.problem = ""
        self.subscription: Subscription | None = None

    def follow(self, path: str) -> bool:
        """Follow this file from now on, or none if the path is empty; returns whether it has changed."""
        if path == (self.subscription.key.path if self.subscription is not None else ""):
            return False
        self.stop()
        self.read = False
        self.problem = ""
        if path:
            reader = self.lists
            if reader is None:
                reader = self.own_reader = ListReader()
            self.subscription = reader.subscribe(
                SourceKey(path, False), f"list of {self.owner}", self._list_read, self._list_unusable
            )
        return True

    def stop(self) -> None:
        """Stop following the file, and stop the reader if it is the list's own; may be called again."""
        if self.subscription is not None:
            self.subscription.stop()
            self.subscription = None
        if self.own_reader is not None:
            self.own_reader.stop()
            self.own_reader = None

    async def _list_read(self, listed: EndpointList) -> str:
        """Report a list; returns why it is rejected, or an empty text."""
        if not listed.endpoints:
            await self._list_unusable(listed.source, "it lists no instance")
            return self.problem
        self.read = True
        self.problem = ""
        self.on_instances(listed.endpoints)
        return ""

    async def _list_unusable(self, source: str, problem: str) -> None:
        """Log a problem once; the last list that was reported stays valid."""
        if problem != self.problem:
            log.error("instance list unusable owner=%s source=%s: %s", self.owner, source, problem)
        self.problem = problem
