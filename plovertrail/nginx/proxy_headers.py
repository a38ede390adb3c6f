"""proxy_set_header: the headers that a location's requests go on with."""

from __future__ import annotations

import re

from plovertrail.config.route_actions import RESERVED
from plovertrail.decisions.templates import escaped, parse_template
from plovertrail.nginx.context import ImportContext
from plovertrail.nginx.routes import RouteSettings
from plovertrail.nginx.scope import Scope
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.variables import UnmappableError, template

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
PLAIN_ASCII = re.compile(r"[\t -~]*")
OF_THE_DAEMON = frozenset(("x-request-id", "x-deadline-ms", "idempotency-key"))
KEPT_BY_ITSELF = RESERVED - OF_THE_DAEMON  # no route may change these


def read_headers(context: ImportContext, scope: Scope, host: str, settings: RouteSettings) -> None:
    """Read proxy_set_header of the nearest level that has any; Host is proxy_pass's, if it says nothing."""
    settings.headers["Host"] = escaped(host)
    given = scope.nearest("proxy_set_header")
    last = {directive.args[0].lower(): directive for directive in given if directive.args}
    for directive in given:
        if directive.args and last[directive.args[0].lower()] is not directive:
            context.report.not_mapped(
                directive, "the header is named again at this level, and the last one counts"
            )
            continue
        if len(directive.args) != 2:
            context.report.not_mapped(directive, "neither a name nor a value")
            continue
        name, value = directive.args
        if not HEADER_NAME.fullmatch(name):  # nor could a client send such a header
            context.report.not_mapped(directive, "no name of a header: none is sent")
            continue
        try:
            _read_header(context, directive, context.fill_constants(value, scope), host, settings)
        except UnmappableError as why:
            settings.removed.append(name)
            settings.headers.pop(name, None)
            context.report.not_mapped(directive, f"{why}: the client's own is removed, and none is sent")


def _read_header(
    context: ImportContext, directive: Directive, value: str, host: str, settings: RouteSettings
) -> None:
    """One header, with a value whose constants are filled in; raises UnmappableError."""
    report, name = context.report, directive.args[0]
    low = name.lower()
    if low == "upgrade" and value == "$http_upgrade":
        settings.websocket = True
        report.mapped(directive, "websocket")
    elif low == "connection":
        if value == "upgrade" or value in context.upgrade_variables:
            report.mapped(directive, "websocket")
        else:
            report.no_effect(directive, "connections are the daemon's own, and kept")
    elif low in KEPT_BY_ITSELF:
        report.no_effect(directive, "it is kept right by itself")
    elif low in OF_THE_DAEMON:
        if (low, value) == ("x-request-id", "$request_id"):
            report.differs(directive, "a client's own is kept, if it is one")
        else:
            report.not_mapped(directive, "it is the daemon's to send, or the client's")
    elif low == "host" and value == "$http_host":
        settings.headers.pop("Host", None)
        report.mapped(directive, "as the client sent it")
    elif not value:
        settings.removed.append(name)
        report.mapped(directive, "remove_headers")
    else:
        _set_header(settings, name, header_template(value, host))
        report.mapped(directive, "set_headers")


def header_template(value: str, host: str) -> str:
    """A header's value as a template; `host` is that of proxy_pass. Raises UnmappableError."""
    made = template(value, {"proxy_host": escaped(host)})
    if any(name.isdigit() for name in parse_template(made).names):
        raise UnmappableError("groups of an expression")
    if not PLAIN_ASCII.fullmatch(made):
        raise UnmappableError("a value that is not plain ASCII")
    return made


def _set_header(settings: RouteSettings, name: str, value: str) -> None:
    """Set a header in place of one that differs in case only."""
    low = name.lower()
    settings.headers.pop(next((known for known in settings.headers if known.lower() == low), ""), None)
    settings.headers["Host" if low == "host" else name] = value
