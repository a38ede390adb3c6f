"""Texts with nginx's variables as templates of ours."""

from __future__ import annotations

import re
from collections.abc import Mapping

from plovertrail.decisions.templates import escaped

VARIABLE = re.compile(r"\$(?:\{([A-Za-z0-9_]+)\}|([1-9]|[A-Za-z_][A-Za-z0-9_]*))")
TEMPLATES = {
    "host": "{host}",
    "http_host": "{authority}",
    "remote_addr": "{address}",
    "scheme": "http",
    "proxy_add_x_forwarded_for": "{forwarded_for}",
    "request_uri": "{uri}",
    "uri": "{path}",
    "document_uri": "{path}",
    "args": "{query}",
    "query_string": "{query}",
    "request_method": "{method}",
    "request_id": "{request_id}",
    "server_port": "{port}",
    "https": "",
    **{str(number): f"{{{number}}}" for number in range(1, 10)},
}


class UnmappableError(Exception):
    """Something that has no counterpart here: what, for the report."""


def variables(text: str) -> list[str]:
    """The names of a text's variables."""
    return [found[1] or found[2] for found in VARIABLE.finditer(text)]


def template(text: str, own: Mapping[str, str] | None = None) -> str:
    """A text as a template; `own` has further variables. Raises UnmappableError."""
    known = {**TEMPLATES, **(own or {})}
    made, at = "", 0
    text = text.replace("$is_args$args", "${_args}")
    for found in VARIABLE.finditer(text):
        name = found[1] or found[2]
        made += escaped(text[at : found.start()])
        at = found.end()
        if name == "_args":
            made += "{args}"
        elif name in known:
            made += known[name]
        else:
            raise UnmappableError(f"${name} has no counterpart")
    if "$" in VARIABLE.sub("", text):
        raise UnmappableError("a $ that begins no variable")
    return made + escaped(text[at:])
