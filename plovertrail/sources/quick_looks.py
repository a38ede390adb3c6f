"""Quick looks: short-interval rereads of sources that have just changed or have not settled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from plovertrail.decisions.list_versions import RECHECK_INTERVAL_US, SourceKey
from plovertrail.sources.subscriptions import FollowedSource


class QuickLooks:
    """The sources that are reread at a short interval; `submit` queues their reads."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, submit: Callable[[Collection[FollowedSource]], None]
    ) -> None:
        self.loop = loop
        self.submit = submit
        self.sources: dict[SourceKey, FollowedSource] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def add(self, followed: FollowedSource) -> None:
        """Reread a source until it has settled and its times are old enough to be trusted."""
        self.sources[followed.version.key] = followed
        followed.read_again_soon = True
        self._arm()

    def remove(self, key: SourceKey) -> None:
        """Stop rereading a source; does nothing if it isn't among them."""
        self.sources.pop(key, None)

    def _look(self) -> None:
        self.timer = None
        for key, each in list(self.sources.items()):
            if each.settled and not each.may_change:
                del self.sources[key]
                each.read_again_soon = False
        self.submit(self.sources.values())
        self._arm()

    def _arm(self) -> None:
        if self.sources and self.timer is None and not self.closed:
            self.timer = self.loop.call_later(RECHECK_INTERVAL_US / 1e6, self._look)

    def close(self) -> None:
        """Stop all rereads."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
