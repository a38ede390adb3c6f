"""Brings the engine in when the first hook is configured: it is large, and most daemons have none."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup

if TYPE_CHECKING:
    from plovertrail.hooks.engine import Compiled
    from plovertrail.hooks.hook import Hook
    from plovertrail.hooks.keeper import HookKeeper


class HookLoader:
    """The hooks of one daemon, if it has any."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.keeper: HookKeeper | None = None

    def prepare(self, setup: Setup) -> Mapping[str, Compiled]:
        """The modules of a setup's hooks, compiled and tried out; raises ConfigError. Blocking."""
        if not setup.hooks:
            return {}
        if self.keeper is None:
            try:
                from plovertrail.hooks.keeper import HookKeeper
            except ImportError as error:
                raise ConfigError(
                    setup.path,
                    [Problem("hooks", f"they can't be run here: {error}", "install plovertrail[hooks]")],
                ) from None
            self.keeper = HookKeeper(self.clock)
        return self.keeper.prepare(setup)

    def follow(self, setup: Setup, compiled: Mapping[str, Compiled]) -> Mapping[str, Hook]:
        """The hooks of a setup that comes into force, by name."""
        return self.keeper.follow(setup.hooks, compiled) if self.keeper is not None else {}

    def status(self) -> dict[str, Any]:
        """Figures of each hook in force, by name; empty if no hook was ever configured."""
        return self.keeper.status() if self.keeper is not None else {}

    def stop(self) -> None:
        """End the engine's clock, if the engine was loaded."""
        if self.keeper is not None:
            self.keeper.stop()
