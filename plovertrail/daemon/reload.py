"""Reads the operator's file again and puts it into force, in full or not at all."""

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

Approve = Callable[[str], Awaitable[str]]  # takes a path; returns why it is refused, empty if it is not


def file_digest(path: str) -> bytes:
    """The digest of a file's content; empty where it can't be read."""
    try:
        return hashlib.sha256(Path(path).read_bytes()).digest()
    except OSError:
        return b""


class Reloader:
    """Reloads the operator's file, one reload at a time."""

    def __init__(self, applier: ConfigurationApplier, approve: Approve | None = None) -> None:
        """A file is taken only if `approve` returns an empty text."""
        self.applier = applier
        self.services = applier.services
        self.approve = approve
        self.problem = ""  # why the last reload was refused; empty: it was not
        self._lock = asyncio.Lock()

    async def wait_until_idle(self) -> None:
        """Return once no reload is under way."""
        async with self._lock:
            pass

    async def reload(self) -> bool:
        """Read the file again; returns False if it was refused and the configuration in force stays."""
        async with self._lock:
            return await self._reload()

    async def reload_changed(self, digest: str) -> None:
        """Reload unless the content with this digest is in force already."""
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
            # A defect in a check or a hook's compiler must not end the daemon, which still serves.
            log.exception("reload refused after a defect, the configuration in force stays file=%s", path)
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
        """Take a file into force; raises ConfigError. Files and hooks are checked off the event loop."""
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
        refusal = "it changed while it was read"  # so another content may have been approved
    if refusal:
        raise ConfigError(path, [Problem("", refusal)])
    return setup
