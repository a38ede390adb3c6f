"""What all readers of the operator's file have in common: problems, and values of several tables."""

from __future__ import annotations

import enum
import ipaddress
import os
import re
from typing import TypeVar

from plovertrail.config.problems import Problem

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, section 5.6.2
FIELD_VALUE = re.compile(r"[\t -~]*")
FROM_ENVIRONMENT = "env:"
Source = TypeVar("Source", bound=enum.Enum)


class TableReader:
    """Reads tables; what is wrong goes to `problems`, and reading goes on."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems

    def wrong(self, place: str, what: str, instead: str = "") -> None:
        """Note a problem, and what to write instead."""
        self.problems.append(Problem(place, what, instead))

    def name(self, name: str, place: str) -> None:
        """Check the name of a table or a server."""
        if not NAME.fullmatch(name):
            self.wrong(
                place,
                f"{name!r} is no name",
                "write letters, digits, _ . or -, 64 at most, a letter or digit first",
            )

    def address(self, text: str, place: str) -> tuple[str, int]:
        """An IPv4 address and a port; `("", 0)` if it is none."""
        host, colon, port = text.rpartition(":")
        try:
            # hazard: a name would be looked up, on the loop
            plain = str(ipaddress.IPv4Address(host))
            if colon and port.isdecimal() and 0 < int(port) <= 65_535:
                return plain, int(port)
        except ValueError:
            pass
        self.wrong(place, f"{text!r} is no address", 'write an IPv4 address and a port, as "127.0.0.1:8080"')
        return "", 0

    def header_name(self, text: str, place: str) -> bytes:
        """The name of a header, as written."""
        if not TOKEN.fullmatch(text):
            self.wrong(place, f"{text!r} is no header name", 'write letters, digits and -, as "X-Request-Id"')
        return text.encode("latin-1", "replace")

    def environment(self, text: str, place: str) -> str:
        """A value that is written, or that the environment has."""
        if not text.startswith(FROM_ENVIRONMENT):
            return text
        variable = text.removeprefix(FROM_ENVIRONMENT)
        found = os.environ.get(variable, "")
        if not found:
            self.wrong(
                place,
                f"the environment has no {variable}",
                "set it to one that this instance alone has, the same at each start",
            )
        return found

    def source(self, text: str, place: str, kinds: type[Source], what: str) -> tuple[Source | None, bytes]:
        """Where something of a request is read: one of the words, or "header:NAME"."""
        words = [kind.value for kind in kinds if kind.value not in ("header", "none")]
        kind, _, name = text.partition(":")
        if kind == "header" and name:
            return kinds("header"), self.header_name(name, place).lower()
        if text in words:
            return kinds(text), b""
        told = ", ".join(f'"{word}"' for word in words)
        self.wrong(place, f"{text!r} is {what}", f'write {told} or "header:X-Name"')
        return None, b""
