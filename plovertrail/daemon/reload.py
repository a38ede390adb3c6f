"""Reloads the operator's configuration file and applies it, in full or not at all."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path

from plovertrail.config import operator
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.daemon.configuration_apply import ConfigurationApplier, watched_lists

log = logging.getLogger(__name__)

Approve = Callable[[str], Awaitable[str]]  # takes a path; returns why the file is refused, or an empty text


def file_digest(path: str) -> bytes:
    """The digest of a file's content; empty if the file can't be read."""
    try:
        return hashlib.sha256(Path(path).read_bytes()).digest()
    except OSError:
        return b""


class Reloader:
    """Reloads the operator's file, one reload at a time."""

    def __init__(self, applier: ConfigurationApplier, approve: Approve | None = None) -> None:
        """A file is applied only if `approve` returns an empty text for it."""
        self.applier = applier
        self.services = applier.services
        self.approve = approve
        self.problem = ""  # why the last reload was refused; empty if it succeeded
        self._lock = asyncio.Lock()

    async def wait_until_idle(self) -> None:
        """Return once no reload is in progress."""
        async with self._lock:
            pass

    async def reload(self) -> bool:
        """Reload the file; returns False if it was refused and the configuration in force stays."""
        async with self._lock:
            return await self._reload()

    async def reload_changed(self, digest: str) -> None:
        """Reload the file unless the content with this digest is already in force."""
        async with self._lock:
            if self.services.current.generation.setup.digest != digest:
                await self._reload()

    async def _reload(self) -> bool:
        self.services.event_log.reopen()
        path = self.services.current.generation.setup.path
        try:
            await self._load_and_apply(path)
        except ConfigError as error:
            log.error("reload refused, the configuration in force stays: %s", error)
            self.problem = str(error)
            return False
        except Exception as error:
            # A bug in a check or in the compiler of hooks must not stop the daemon, which still serves.
            log.exception(
                "reload refused after an internal error, the configuration in force stays file=%s", path
            )
            self.problem = repr(error)
            return False
        finally:
            self.services.lists.drop_unfollowed()
        self.problem = ""
        log.info(
            "configuration in force generation=%d file=%s", self.services.current.generation.number, path
        )
        return True

    async def _load_and_apply(self, path: str) -> None:
        """Load and apply a file; raises ConfigError. Files and hooks are checked in other threads."""
        if self.approve is None:
            setup = await asyncio.to_thread(operator.load, path)
        else:
            setup = await _load_approved(path, self.approve)
        services = self.services
        first_lists = await services.lists.first_read(watched_lists(setup))
        hook_modules = await asyncio.to_thread(services.hooks.prepare, setup)
        self.applier.put_into_force(self.applier.prepare(setup, first_lists, hook_modules))


async def _load_approved(path: str, approve: Approve) -> Setup:
    """Load a file that `approve` accepts; raises ConfigError."""
    digest_before = await asyncio.to_thread(file_digest, path)
    refusal = await approve(path)
    setup = await asyncio.to_thread(operator.load, path)
    if not refusal and await asyncio.to_thread(file_digest, path) != digest_before:
        refusal = "it changed while it was read"  # `approve` may have seen other content
    if refusal:
        raise ConfigError(path, [Problem("", refusal)])
    return setup
