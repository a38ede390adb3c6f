"""Texts with places for what a request tells: values of headers, where a redirect leads.

`{host}`, `{uri}` and the like are filled in, `{{` and `}}` are braces. Nothing else is looked at, so what a
client sends is never read as a template.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

# what each place is filled with, as docs/operator.md tells it
PLACEHOLDERS = frozenset(
    (
        "host",  # without a port, in lower case
        "authority",  # the host as it was sent
        "address",  # of the client's connection
        "client",  # whose request it is, as its route reads that
        "forwarded_for",  # the client's X-Forwarded-For with its address behind it
        "method",
        "path",  # as it goes on, before a rewrite
        "query",
        "args",  # "?" and the query, or nothing
        "uri",  # path and query as they were sent
        "request_id",
        "port",  # of the listener
        *"123456789",  # groups of the route's regular expression
    )
)
PLACEHOLDER = re.compile(r"\{\{|\}\}|\{([a-z_]+|[1-9])\}|[{}]")


@dataclass(frozen=True, slots=True)
class Template:
    """A text, taken apart: plain pieces, and the names of what comes behind each."""

    pieces: tuple[tuple[str, str], ...]  # (plain, name); an empty name: nothing comes
    text: str = ""  # as it was written

    @property
    def names(self) -> frozenset[str]:
        """The names of the values that the template needs."""
        return frozenset(name for _, name in self.pieces if name)

    def render(self, values: Mapping[str, str]) -> str:
        """The text with the values filled in; `values` has each of `names`."""
        return "".join(literal + (values[name] if name else "") for literal, name in self.pieces)


def parse_template(text: str) -> Template:
    """Take a text apart; raises ValueError on a place that isn't known, or a brace that stands alone."""
    pieces: list[tuple[str, str]] = []
    literal, position = "", 0
    for match in PLACEHOLDER.finditer(text):
        literal += text[position : match.start()]
        position = match.end()
        if match[0] in ("{{", "}}"):
            literal += match[0][0]
        elif match[1] is None:
            raise ValueError("a brace that stands alone")
        elif match[1] not in PLACEHOLDERS:
            raise ValueError(f"{match[0]} is not known")
        else:
            pieces.append((literal, match[1]))
            literal = ""
    return Template((*pieces, (literal + text[position:], "")), text)


def escaped(text: str) -> str:
    """A text as a template that is filled with just that."""
    return text.replace("{", "{{").replace("}", "}}")
