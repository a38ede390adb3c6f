"""The operator's file, `[[routes]]`: which requests a route takes."""

from __future__ import annotations

import re
from collections.abc import Mapping

import re2

from plovertrail.config.schema import RouteTableRow
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import key_path
from plovertrail.decisions.paths import InvalidTargetError, normalise_host, normalise_path
from plovertrail.decisions.routes import SAFE_METHODS, PathKind, Predicate
from plovertrail.decisions.settings import RequestClass

LONGEST_REGEX = 1000


class PathReader(TableReader):
    """Reads paths and regular expressions."""

    def normal(self, value: str, place: str) -> str:
        """A path as rules see it."""
        try:
            path = normalise_path(value.encode())[1]
        except InvalidTargetError as error:
            self.wrong(place, f"{value!r} is no path: {error}", 'write a path that begins with "/"')
            return "/"
        if "?" in value or "#" in value:
            self.wrong(place, "a path has no query and no fragment", 'write query = { name = "value" }')
        return path

    def checked_regex(self, value: str, place: str) -> None:
        """Check a regular expression: RE2's alone run in linear time."""
        try:
            if len(value) > LONGEST_REGEX:
                raise ValueError(f"longer than {LONGEST_REGEX} characters")
            options = re2.Options()
            options.log_errors = False
            re2.compile(value, options)
        except (re2.error, ValueError) as error:
            text = error.args[0] if error.args else error
            text = text.decode() if isinstance(text, bytes) else text
            self.wrong(
                place,
                f"no regular expression of RE2: {text}",
                "look-around and back references are not taken, as they don't run in linear time",
            )


class RouteConditionsReader(PathReader):
    """Reads what a request must be like for a route to take it."""

    def path_of(self, row: RouteTableRow, at: str) -> tuple[PathKind, str]:
        """The one path that a route writes; "/" where it writes none."""
        given = [
            (key, value)
            for key in ("path", "path_exact", "path_regex")
            if (value := getattr(row, key)) is not None
        ]
        if len(given) > 1:
            self.wrong(at, f"{' and '.join(key for key, _ in given)} exclude each other", "keep one of them")
        key, value = given[0] if given else ("path", "/")
        if key == "path_regex":
            self.checked_regex(value, f"{at}.{key}")
            return PathKind.REGEX, value
        path = self.normal(value, f"{at}.{key}")
        if key == "path_exact":
            return PathKind.EXACT, path
        return PathKind.PREFIX, path.rstrip("/") or "/"

    def beginning(self, text: str, place: str) -> str:
        """What paths begin with, as rules see them; it may end within a segment."""
        closed = self.normal(text, place)
        if text.endswith("/") and not closed.endswith("/"):
            closed += "/"
        return closed

    def hosts(self, row: RouteTableRow, at: str) -> tuple[str, ...]:
        """The hosts, in lower case; empty for any, "~" before a regular expression."""
        found = []
        for number, text in enumerate(row.hosts):
            place = f"{at}.hosts[{number}]"
            if text == "*" or text.startswith("~"):
                if text.startswith("~"):
                    self.checked_regex(text[1:], place)
                found.append("" if text == "*" else text)
                continue
            trails = text.endswith(".*") and not text.startswith("*.")
            text = text.removesuffix(".*") if trails else text
            wild, plain = ("*.", text[2:]) if text.startswith("*.") else ("", text)
            try:
                host = normalise_host(plain.encode("idna") if not plain.isascii() else plain.encode())
                if ":" in plain and not plain.startswith("["):
                    raise InvalidTargetError("a port")
            except (InvalidTargetError, UnicodeError):
                self.wrong(
                    place,
                    f"{text!r} is no host",
                    'write a name with no port, as "shop.example" or "*.example"',
                )
                continue
            host = wild + host + (".*" if trails else "")
            if host in found:
                self.wrong(place, f"{text!r} is named twice", "name each host once")
            found.append(host)
        return tuple(found)

    def methods(self, row: RouteTableRow, at: str, kind: RequestClass | None) -> frozenset[str]:
        """The methods; a safe class takes those of SAFE_METHODS alone where none is written."""
        for number, method in enumerate(row.methods):
            if not re.fullmatch(r"[A-Z-]{1,20}", method):
                self.wrong(f"{at}.methods[{number}]", f"{method!r} is no method", 'write capitals, as "POST"')
        methods = frozenset(row.methods)
        if not methods and kind is not None and kind.effect == "idempotent":
            # hazard: a POST that nobody thought of would be repeated
            return SAFE_METHODS
        return methods | {"HEAD"} if "GET" in methods else methods

    def predicates(self, raw: Mapping[str, str | bool], place: str, header: bool) -> tuple[Predicate, ...]:
        """What headers, or parts of the query, must be."""
        found = []
        for name, value in raw.items():
            if header:
                self.header_name(name, key_path(place, name))
                if name.lower() == "host":
                    self.wrong(key_path(place, name), "the host is matched by hosts", "write hosts = [...]")
            if value is False:
                self.wrong(key_path(place, name), "false is not taken", "write true, or the value wanted")
            wanted = value if isinstance(value, str) else None
            found.append(Predicate(name.lower() if header else name, wanted))
        return tuple(found)
