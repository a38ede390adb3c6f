"""The operator's file, `[[routes]]`: what a route changes of a request, or answers in place of a server."""

from __future__ import annotations

import re
from contextlib import suppress

import re2

from plovertrail.config.route_conditions import PathReader
from plovertrail.config.schema import RespondTable, RouteTableRow
from plovertrail.config.table_reader import FIELD_VALUE
from plovertrail.config.tables import key_path, read_table
from plovertrail.decisions.routes import FixedResponse, PathKind
from plovertrail.decisions.templates import PLACEHOLDERS, Template, parse_template

RESERVED = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "x-deadline-ms",
        "idempotency-key",
    )
)
Plain = tuple[tuple[bytes, bytes], ...]  # headers with their values
Filled = tuple[tuple[bytes, Template], ...]


class RouteActionsReader(PathReader):
    """Reads what becomes of a request that a route has taken."""

    def fixed_answer(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> FixedResponse | None:
        """What a route answers by itself; None: its requests go to servers."""
        if row.respond is None:
            return None
        place = f"{at}.respond"
        table = read_table(RespondTable, row.respond, place, self.problems)
        if table is None:
            return None
        if table.location is not None and not 300 <= table.status < 400 and table.status != 201:
            self.wrong(
                f"{place}.location",
                f"status {table.status} leads nowhere",
                "write a status from 300 to 399, or 201",
            )
        if table.status in (301, 302, 303, 307, 308) and table.location is None:
            self.wrong(
                place,
                f"status {table.status} with no location",
                'write location = "https://{host}{uri}", or another status',
            )
        if table.body and table.status in (204, 304):
            self.wrong(f"{place}.body", f"status {table.status} has no body", "leave it out")
        if not FIELD_VALUE.fullmatch(table.content_type):
            self.wrong(f"{place}.content_type", "the value is not plain text", "write printable ASCII")
        location = body = None
        if table.location is not None:
            location = self._template(table.location, f"{place}.location", kind, path)
            if not FIELD_VALUE.fullmatch(table.location):
                self.wrong(f"{place}.location", "the value is not plain text", "write printable ASCII")
        if table.body is not None:
            body = self._template(table.body, f"{place}.body", kind, path)
        return FixedResponse(table.status, location, body, table.content_type)

    def _template(self, text: str, place: str, kind: PathKind, path: str) -> Template:
        """A text with places for what a request tells."""
        try:
            made = parse_template(text)
        except ValueError as error:
            self.wrong(
                place,
                str(error),
                "write one of "
                + ", ".join(f"{{{name}}}" for name in sorted(PLACEHOLDERS))
                + ", or {{ and }} for braces",
            )
            return Template(())
        groups = 0
        if kind is PathKind.REGEX:
            with suppress(re2.error):  # told already
                groups = re2.compile(path).groups
        if any(name.isdigit() and int(name) > groups for name in made.names):
            self.wrong(
                place,
                "names a group that the route's path doesn't have",
                "write {1} for the first group in parentheses of path_regex",
            )
        return made

    def rewrite(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> str | None:
        """What takes the place of the route's path; None: nothing."""
        if row.rewrite is None:
            return None
        place = f"{at}.rewrite"
        if not row.rewrite.startswith("/"):
            self.wrong(place, "no path", 'write a path that begins with "/"')
        elif kind is PathKind.REGEX:
            try:
                groups = re2.compile(path).groups
            except re2.error:
                return row.rewrite  # told already
            used = [int(number) for number in re.findall(r"\\(\d)", row.rewrite)]
            if any(number > groups for number in used) or re.search(r"\\(?!\d)", row.rewrite):
                self.wrong(
                    place,
                    "names a group that the regular expression doesn't have",
                    r"write \1 for the first group in parentheses",
                )
        else:
            return self.normal(row.rewrite, place)
        return row.rewrite

    def set_headers(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> tuple[Plain, Filled]:
        """Those with the same value for all requests, and those that are filled with what one tells."""
        plain, filled = [], []
        for name, value in row.set_headers.items():
            place = key_path(f"{at}.set_headers", name)
            self._own_header(name, place)
            if not FIELD_VALUE.fullmatch(value):
                self.wrong(place, "the value is not plain text", "write printable ASCII")
            made = self._template(value, place, kind, path)
            if made.names:
                filled.append((self.header_name(name, place), made))
            else:
                plain.append((self.header_name(name, place), made.render({}).encode("ascii", "replace")))
        return tuple(plain), tuple(filled)

    def removed(self, row: RouteTableRow, at: str) -> frozenset[bytes]:
        """The headers that a route takes away, in lower case."""
        for number, name in enumerate(row.remove_headers):
            self._own_header(name, f"{at}.remove_headers[{number}]")
            self.header_name(name, f"{at}.remove_headers[{number}]")
        return frozenset(name.lower().encode("latin-1", "replace") for name in row.remove_headers)

    def _own_header(self, name: str, place: str) -> None:
        if name.lower() in RESERVED:
            self.wrong(
                place, f"{name} is not the route's to change", "leave it out: it is kept right by itself"
            )
