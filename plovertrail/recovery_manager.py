"""Brings a daemon back that stood still: nothing is sent until its lists have been read again."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from plovertrail.clock import clock_us
from plovertrail.decisions.recovery import Phase, Recovery
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.sources.subscriptions import Subscription
from plovertrail.stall_detector import StallDetectingLoop

log = logging.getLogger(__name__)

TURNS = 10  # of the loop, for what lies on sockets already: a call for a drain takes four
UNSETTLED_S = 0.05  # between two looks at a file that was changed a moment ago


def source_name(pool: str, source: str) -> str:
    """A source as operators are told of it."""
    return f"{pool}: {source}"


class RecoveryManager:
    """The phase of one daemon. `settled` waits until no reload is under way."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        registries: Callable[[], Mapping[str, EndpointRegistry]],
        settled: Callable[[], Awaitable[None]],
        on_gap: Callable[[int], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.registries = registries
        self.settled = settled
        self.on_gap = on_gap  # what has piled up meanwhile is to be given up
        self.recovery = Recovery(clock_us())
        self.started_us = 0  # when the start had been made
        self.again = False  # it stood still once more while it caught up
        self.task: asyncio.Task[None] | None = None
        loop = dispatcher.loop
        if isinstance(loop, StallDetectingLoop):
            loop.stall_selector.on_gap = self.stood_still

    def watches(self) -> dict[str, Subscription]:
        """All sources that are watched."""
        return {
            source_name(name, watch.key.name): watch
            for name, registry in self.registries().items()
            for watch in registry.watches.values()
        }

    def follow(self) -> None:
        """A setup has come into force; its lists have been read once."""
        now_us, before = clock_us(), self.recovery.phase
        for name, registry in self.registries().items():
            for source in registry.watches.values():
                wrong = registry.unreadable.get(source.key.name, "")
                self.recovery.told(source_name(name, source.key.name), wrong, now_us)
        self.recovery.begin(self.watches(), now_us)
        self.changed(before)

    def told(self, pool: str, source: str, wrong: str) -> None:
        """A watched source was read: it gave a list, or this is wrong with it."""
        before = self.recovery.phase
        self.recovery.told(source_name(pool, source), wrong, clock_us())
        self.changed(before)

    def started(self) -> None:
        """All has been built, which may have taken one long turn of the loop."""
        self.started_us = clock_us()

    def stood_still(self, gap_us: int) -> None:
        """The process did nothing for so long; called before anything is acted on."""
        self.dispatcher.suspend(gap_us)
        self.on_gap(gap_us)
        before = self.recovery.phase
        now_us = clock_us()
        # hazard: a start that took long did not stand still, but what it has read may be overtaken as well
        starting = now_us - gap_us < self.started_us
        self.recovery.stood_still(gap_us, self.watches(), now_us, starting)
        self.changed(before)
        self.again = True
        if self.task is None or self.task.done():
            self.task = self.dispatcher.loop.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        try:
            while self.again:
                self.again = False
                try:
                    left_us = self.recovery.catch_up_ends_us - clock_us()
                    async with asyncio.timeout(left_us / 1e6):
                        for _ in range(TURNS):
                            await asyncio.sleep(0)
                        await asyncio.gather(*(self._read(*each) for each in self.watches().items()))
                        await self.settled()
                except TimeoutError:
                    log.error("not all lists could be read again in time; the rest serves")
        except Exception:
            log.exception("the lists could not be read again")
        finally:
            # hazard: whatever goes wrong on the way, held for good the daemon would answer nobody
            before = self.recovery.phase
            self.recovery.caught_up(clock_us())
            self.changed(before)
            self.dispatcher.resume()

    async def _read(self, name: str, watch: Subscription) -> None:
        """Until the file has settled. Hazard: of one that is written at this moment the last good list would
        hold, without the drain that it was written for."""
        while not await watch.look():
            await asyncio.sleep(UNSETTLED_S)
        self.recovery.told(name, watch.complaint, clock_us())

    def changed(self, before: Phase) -> None:
        """One line for each change of phase."""
        now = self.recovery
        if now.phase is not before:
            if now.phase is Phase.FULL:
                log.info("phase: full, after %.3f s (%s)", (now.to_full_us or 0) / 1e6, now.why)
            else:
                log.warning("phase: %s (%s)", now.phase.value, now.why)

    def status(self) -> dict[str, Any]:
        """For operators."""
        now, clock = self.recovery, clock_us()
        return {
            "phase": now.phase.value,
            "since_s": round((clock - now.since_us) / 1e6, 3),
            "why": now.why,
            "missing": dict(sorted(now.missing.items())),
            "waiting": sorted(now.waiting),
            "to_full_s": None if now.to_full_us is None else round(now.to_full_us / 1e6, 3),
            "gaps": now.gaps,
            "longest_gap_s": round(now.longest_gap_us / 1e6, 3),
        }

    def stop(self) -> None:
        """The daemon ends: what is held goes on, to be answered."""
        if self.task is not None:
            self.task.cancel()
        self.dispatcher.resume()
