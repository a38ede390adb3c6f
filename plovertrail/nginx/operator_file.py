"""The text of an import's operator's file."""

from __future__ import annotations

import re
from collections.abc import Mapping

from plovertrail.config.operator import parse
from plovertrail.config.problems import ConfigError
from plovertrail.nginx.context import ImportContext
from plovertrail.nginx.proxy_pass import USUAL_BODY_BYTES, USUAL_READ_MS
from plovertrail.nginx.report import Treatment
from plovertrail.nginx.scope import time_text
from plovertrail.nginx.upstreams import pool_text
from plovertrail.nginx.virtual_servers import VirtualServers

MOST_ROUNDS = 20
TARGET_LATENCY_MS = 1_000
NEVER_REACHED = re.compile(r"routes\[(\d+)\]")
HEADER = """\
# Written by `plovertrail import-nginx`; docs/nginx-import.md tells how nginx's words were taken.
# Locations have no class in nginx: GET and HEAD are taken for safe to repeat, all else for unsafe, so that
# nothing else is ever sent twice. Where servers drop repeats by a key, write a keyed class.
"""


class OperatorFile:
    """Writes an import as an operator's file; `times` are keys of all listeners with their values."""

    def __init__(self, context: ImportContext, servers: VirtualServers, times: Mapping[str, str]) -> None:
        self.context = context
        self.servers = servers
        self.times = times

    def checked_text(self) -> str:
        """The text as `plovertrail check` takes it: without the routes that could never win.

        Raises AssertionError where the text would not pass for another reason.
        """
        for _ in range(MOST_ROUNDS):
            text = self.text()
            try:
                parse(text)
                return text
            except ConfigError as error:
                self._drop_never_reached(error)
        raise AssertionError("routes that are never reached, and no end of them")

    def _drop_never_reached(self, error: ConfigError) -> None:
        lost = {
            int(found[1])
            for problem in error.problems
            if "never reached" in problem.what and (found := NEVER_REACHED.match(problem.place))
        }
        if not lost or len(lost) < len(error.problems):
            raise AssertionError(str(error)) from None
        routes = self.context.routes
        for number in lost:
            self.context.report.mark(routes.rows[number].directive, Treatment.NO_EFFECT, "")
        routes.rows = [row for number, row in enumerate(routes.rows) if number not in lost]

    def text(self) -> str:
        """The text with all routes, not checked."""
        largest_bytes = max([USUAL_BODY_BYTES, *self.context.max_bodies_bytes])
        lines = [HEADER, "[limits]", f'max_body = "{largest_bytes}B"', ""]
        lines += self._listeners() + self._classes() + self._websockets()
        lines += self.context.limits.text() + self._pools()
        return "\n".join([*lines, *self.context.routes.text()]) + "\n"

    def _listeners(self) -> list[str]:
        lines = []
        for address, name in self.servers.listeners.items():
            lines += [
                f"# {self.servers.places[address]}",
                f"[listeners.{name}]" if "." not in name else f'[listeners."{name}"]',
                f'address = "{address}"',
            ]
            lines += [f'{key} = "{value}"' for key, value in self.times.items()] + [""]
        return lines

    def _classes(self) -> list[str]:
        """A safe and an unsafe class for each deadline."""
        first_places: dict[int, str] = {}
        for row in self.context.routes.rows:
            if row.settings:
                first_places.setdefault(row.settings.deadline_ms, row.directive.place)
        lines = []
        for deadline_ms in sorted(first_places or {USUAL_READ_MS}):
            for effect in ("safe", "unsafe"):
                lines += [
                    f"# {first_places.get(deadline_ms, 'no location')}: the first that waits so long",
                    f"[classes.{effect}-{deadline_ms}ms]",
                    f'effect = "{effect}"',
                    f'aim = "{time_text(min(deadline_ms, TARGET_LATENCY_MS))}"',
                    f'deadline = "{time_text(deadline_ms)}"',
                    "",
                ]
        return lines

    def _websockets(self) -> list[str]:
        if not any(row.settings and row.settings.websocket for row in self.context.routes.rows):
            return []
        return [
            "[websockets.nginx]",
            'idle_timeout = "60s"  # as proxy_read_timeout; see docs/sockets.md',
            "",
        ]

    def _pools(self) -> list[str]:
        used = [group for group in self.context.groups.values() if group.used]
        if not used:
            return ["[pools]", ""]
        return [line for group in used for line in pool_text(group)]
