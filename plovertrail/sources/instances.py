"""A list of instances in a watched file."""

from __future__ import annotations

import logging
from collections.abc import Callable

from plovertrail.decisions.endpoint_list import EndpointList, ListedEndpoint
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class InstanceList:
    """Tells of each new list. One that can't be used, or names nobody, leaves what is known. Hazard: taken as
    it is, an empty one would make each instance the only one, with all that is to be shared out."""

    def __init__(
        self,
        of_what: str,
        listed: Callable[[tuple[ListedEndpoint, ...]], None],
        lists: ListReader | None = None,
    ) -> None:
        self.of_what = of_what
        self.listed = listed
        self.lists = lists  # None: it has a reader of its own while it has something to read
        self.own: ListReader | None = None
        self.read = False  # a list of this file has been told
        self.problem = ""
        self.watch: Subscription | None = None

    def follow(self, path: str) -> bool:
        """Watch this file from now on, none if empty; whether it is another one than before."""
        if path == (self.watch.key.path if self.watch is not None else ""):
            return False
        self.stop()
        self.read, self.problem = False, ""
        if path:
            reader = self.lists
            if reader is None:
                reader = self.own = ListReader()
            self.watch = reader.subscribe(
                SourceKey(path, False), f"list of {self.of_what}", self._taken, self._refused
            )
        return True

    def stop(self) -> None:
        """Stop watching the file, and stop the reader if it is this list's own; may be called again."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None
        if self.own is not None:
            self.own.stop()
            self.own = None

    async def _taken(self, candidate: EndpointList) -> str:
        if not candidate.endpoints:
            await self._refused(candidate.source, "it lists no instance")
            return self.problem
        self.read, self.problem = True, ""
        self.listed(candidate.endpoints)
        return ""

    async def _refused(self, source: str, why: str) -> None:
        if why != self.problem:
            log.error(
                "the list of %s, %s, can't be used: %s; what is known of them stays",
                self.of_what,
                source,
                why,
            )
        self.problem = why
