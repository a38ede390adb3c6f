"""The hooks in force: modules read and compiled aside, tried, and swapped in whole."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from plovertrail.config.hooks import HookSetup
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.config.tables import key_path
from plovertrail.hooks.bounds import LARGEST_MODULE
from plovertrail.hooks.engine import Compiled, InvalidModuleError, Runtime
from plovertrail.hooks.hook import Hook
from plovertrail.hooks.trial import try_out


def read_module(path: str) -> bytes:
    """A module's file; raises InvalidModuleError."""
    try:
        with open(path, "rb") as file:
            return file.read(LARGEST_MODULE + 1)
    except OSError as error:
        raise InvalidModuleError(f"{path} can't be read: {error.strerror}") from None


class HookKeeper:
    """One daemon's."""

    def __init__(self, clock_us: Callable[[], int]) -> None:
        self.clock_us = clock_us
        self.runtime = Runtime()
        self.hooks: dict[str, Hook] = {}

    def prepare(self, setup: Setup) -> dict[str, Compiled]:
        """All modules of a setup, compiled and tried out; raises ConfigError. Blocking: not for the loop."""
        self.runtime.start()
        problems: list[Problem] = []
        compiled = {}
        for name, hook in setup.hooks.items():
            try:
                compiled[name] = self.runtime.compile_module(read_module(hook.path))
                try_out(
                    self.runtime,
                    compiled[name],
                    hook,
                    setup.limits.max_head,
                    [kind.name for kind in setup.classes],
                )
            except InvalidModuleError as error:
                problems.append(
                    Problem(
                        f"{key_path('hooks', name)}.file",
                        f"{hook.path}: {error}",
                        "`plovertrail hook check FILE` tells more",
                    )
                )
        if problems:
            raise ConfigError(setup.path, problems)
        return compiled

    def follow(self, setups: Mapping[str, HookSetup], compiled: Mapping[str, Compiled]) -> dict[str, Hook]:
        """These are in force from now on. One whose module and settings are as they were goes on, with its
        counters and its breaker; requests in progress keep those that they began with."""
        before, self.hooks = self.hooks, {}
        for name, setup in setups.items():
            old = before.get(name)
            if old is not None and old.setup == setup and old.compiled.digest == compiled[name].digest:
                self.hooks[name] = old
            else:
                self.hooks[name] = Hook(self.runtime, setup, compiled[name], self.clock_us)
        return self.hooks

    def status(self) -> dict[str, Any]:
        """Figures of each hook in force, by name."""
        return {name: hook.status() for name, hook in self.hooks.items()}

    def stop(self) -> None:
        """End the engine's clock. No hook may be called afterwards."""
        self.runtime.stop()
