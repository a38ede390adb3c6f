"""Recovers a daemon after a pause of its process: nothing is sent until the endpoint lists are reread."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from plovertrail.clock import clock_us
from plovertrail.decisions.recovery import Phase, RecoveryState
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.sources.subscriptions import Subscription
from plovertrail.stall_detector import StallDetectingLoop

log = logging.getLogger(__name__)

CATCH_UP_ITERATIONS = 10  # of the event loop, to handle data waiting on sockets; a drain command takes four
UNSETTLED_FILE_INTERVAL_S = 0.05  # between reads of a file that has just changed


def source_name(pool: str, source: str) -> str:
    """The name of a pool's source in logs and status."""
    return f"{pool}: {source}"


class RecoveryManager:
    """Tracks the recovery phase of one daemon, and recovers it after a pause.

    `reload_done` waits until no reload is in progress. `on_pause` is called with the length of each pause, to
    discard what has piled up meanwhile.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        registries: Callable[[], Mapping[str, EndpointRegistry]],
        reload_done: Callable[[], Awaitable[None]],
        on_pause: Callable[[int], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.registries = registries
        self.reload_done = reload_done
        self.on_pause = on_pause
        self.state = RecoveryState(clock_us())
        self.started_at_us = 0  # when the daemon had been built
        self.paused_again = False  # during the recovery in progress
        self.task: asyncio.Task[None] | None = None
        loop = dispatcher.loop
        if isinstance(loop, StallDetectingLoop):
            loop.notify_of_pauses(self)

    def subscriptions(self) -> dict[str, Subscription]:
        """Return all watched sources, by their names in logs and status."""
        return {
            source_name(name, subscription.key.name): subscription
            for name, registry in self.registries().items()
            for subscription in registry.subscriptions.values()
        }

    def configuration_applied(self) -> None:
        """Track the sources of a new configuration, each of which has been read once."""
        now_us = clock_us()
        old_phase = self.state.phase
        for name, registry in self.registries().items():
            for source in registry.subscriptions.values():
                problem = registry.unreadable_sources.get(source.key.name, "")
                self.state.source_read(source_name(name, source.key.name), problem, now_us)
        self.state.follow_sources(self.subscriptions(), now_us)
        self._log_phase_change(old_phase)

    def source_read(self, pool: str, source: str, problem: str) -> None:
        """Note that a watched source was read; `problem` says why it provided no list, empty if it did."""
        old_phase = self.state.phase
        self.state.source_read(source_name(pool, source), problem, clock_us())
        self._log_phase_change(old_phase)

    def started(self) -> None:
        """Note that the daemon has been built, which may have taken one long iteration of the event loop."""
        self.started_at_us = clock_us()

    def process_paused(self, paused_us: int) -> None:
        """Suspend the dispatcher and start to catch up; called before any other event is handled."""
        self.dispatcher.suspend(paused_us)
        self.on_pause(paused_us)
        old_phase = self.state.phase
        now_us = clock_us()
        # A slow startup is not a pause, but the lists that it read may be outdated as well.
        starting = now_us - paused_us < self.started_at_us
        self.state.process_paused(paused_us, self.subscriptions(), now_us, starting)
        self._log_phase_change(old_phase)
        self.paused_again = True
        if self.task is None or self.task.done():
            self.task = self.dispatcher.loop.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        """Read all sources again within the catch-up timeout, then resume the dispatcher."""
        try:
            while self.paused_again:
                self.paused_again = False
                try:
                    remaining_us = self.state.catch_up_deadline_us - clock_us()
                    async with asyncio.timeout(remaining_us / 1e6):
                        await self._read_everything()
                except TimeoutError:
                    log.error(
                        "catch-up timed out, serving without the failed sources failed_sources=%s",
                        sorted(self.state.pending_sources),
                    )
        except Exception:
            log.exception("catch-up failed: endpoint lists could not be read again")
        finally:
            # After any failure: a daemon that stays suspended would answer no request.
            old_phase = self.state.phase
            self.state.end_catch_up(clock_us())
            self._log_phase_change(old_phase)
            self.dispatcher.resume()

    async def _read_everything(self) -> None:
        """Handle data waiting on sockets, read all sources, and wait for a requested reload."""
        for _ in range(CATCH_UP_ITERATIONS):
            await asyncio.sleep(0)
        await asyncio.gather(*(self._read(name, source) for name, source in self.subscriptions().items()))
        await self.reload_done()

    async def _read(self, name: str, subscription: Subscription) -> None:
        """Read a source until its file is stable.

        A file that is just being written leaves the last good list in force, which lacks the drain that the
        file is written for.
        """
        settled = await subscription.read_now()
        while not settled:
            await asyncio.sleep(UNSETTLED_FILE_INTERVAL_S)
            settled = await subscription.read_now()
        self.state.source_read(name, subscription.last_problem, clock_us())

    def _log_phase_change(self, old_phase: Phase) -> None:
        """Log a change of phase, if there was one."""
        state = self.state
        if state.phase is old_phase:
            return
        if state.phase is Phase.FULL:
            recovery_s = (state.last_recovery_us or 0) / 1e6
            log.info("phase changed phase=full recovery_s=%.3f reason=%r", recovery_s, state.reason)
        else:
            log.warning("phase changed phase=%r reason=%r", state.phase.value, state.reason)

    def status(self) -> dict[str, Any]:
        """Return the phase and the sources, for the daemon's status."""
        state = self.state
        now_us = clock_us()
        recovery_us = state.last_recovery_us
        return {
            "phase": state.phase.value,
            "since_s": round((now_us - state.phase_since_us) / 1e6, 3),
            "why": state.reason,
            "missing": dict(sorted(state.failed_sources.items())),
            "waiting": sorted(state.pending_sources),
            "to_full_s": None if recovery_us is None else round(recovery_us / 1e6, 3),
            "gaps": state.pauses,
            "longest_gap_s": round(state.longest_pause_us / 1e6, 3),
        }

    def stop(self) -> None:
        """Stop catching up and resume the dispatcher, so that suspended requests are answered."""
        if self.task is not None:
            self.task.cancel()
        self.dispatcher.resume()
