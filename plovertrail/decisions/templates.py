"""Templates for header values, redirect locations and response bodies, rendered from a request.

Placeholders such as `{host}` and `{uri}` are replaced by values, `{{` and `}}` by braces. The values
themselves are not parsed, so what a client sends is never read as a template.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

# docs/operator.md has the same list for operators
PLACEHOLDERS = frozenset(
    (
        "host",  # without a port, in lower case
        "authority",  # the host as the client sent it
        "address",  # of the client's connection
        "client",  # as the route reads it
        "forwarded_for",  # X-Forwarded-For of the client, followed by its address
        "method",
        "path",  # as it is forwarded, before a rewrite
        "query",
        "args",  # "?" and the query, or empty
        "uri",  # path and query as the client sent them
        "request_id",
        "port",  # of the listener
        *"123456789",  # groups of the route's regular expression
    )
)
PLACEHOLDER_PATTERN = re.compile(r"\{\{|\}\}|\{([a-z_]+|[1-9])\}|[{}]")


@dataclass(frozen=True, slots=True)
class Template:
    """A parsed template: literal pieces, each followed by a placeholder."""

    pieces: tuple[tuple[str, str], ...]  # (literal, placeholder); an empty placeholder: none follows
    text: str = ""  # the unparsed template

    @property
    def names(self) -> frozenset[str]:
        """The placeholders of the template."""
        return frozenset(name for _, name in self.pieces if name)

    def render(self, values: Mapping[str, str]) -> str:
        """Return the text with all placeholders replaced; `values` needs all of `names`."""
        return "".join(literal + (values[name] if name else "") for literal, name in self.pieces)


def parse_template(text: str) -> Template:
    """Parse a template; raises ValueError if a placeholder is unknown or a brace is unmatched."""
    pieces: list[tuple[str, str]] = []
    literal, position = "", 0
    for match in PLACEHOLDER_PATTERN.finditer(text):
        literal += text[position : match.start()]
        position = match.end()
        if match[0] in ("{{", "}}"):
            literal += match[0][0]
        elif match[1] is None:
            raise ValueError("unmatched brace")
        elif match[1] not in PLACEHOLDERS:
            raise ValueError(f"{match[0]} is not known")
        else:
            pieces.append((literal, match[1]))
            literal = ""
    return Template((*pieces, (literal + text[position:], "")), text)


def escaped(text: str) -> str:
    """Return a template that renders to just this text."""
    return text.replace("{", "{{").replace("}", "}}")
