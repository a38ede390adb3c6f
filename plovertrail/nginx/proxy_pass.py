"""proxy_pass: a location that passes its requests on, as routes to a pool."""

from __future__ import annotations

import re

import re2

from plovertrail.nginx.context import ImportContext
from plovertrail.nginx.locations import Kind, Rule
from plovertrail.nginx.proxy_headers import read_headers
from plovertrail.nginx.routes import RouteSettings
from plovertrail.nginx.scope import Scope, size_bytes, time_ms
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.upstreams import Group, Server, address_of, pool_name
from plovertrail.nginx.variables import VARIABLE, UnmappableError, variables

LARGEST_BODY_BYTES = 64 << 20
USUAL_BODY_BYTES = 1 << 20
USUAL_READ_MS = 60_000
LONGEST_TIMEOUT_MS = 86_400_000
HTTP_URL = re.compile(r"http://([^/?#]+)([^?#]*)")


class ProxyPass:
    """Writes the routes of locations with a proxy_pass."""

    def __init__(self, context: ImportContext) -> None:
        self.context = context
        self.report = context.report

    def add_routes(self, rule: Rule, scope: Scope, directive: Directive, rewritten: str = "") -> None:
        """Add the two routes of a rule whose requests are passed on; raises UnmappableError.

        `directive` is the proxy_pass; `rewritten` is what a rewrite leaves, if there is one.
        """
        written = directive.args[0] if directive.args else ""
        url = self.context.fill_constants(written, scope)
        found = HTTP_URL.fullmatch(url)
        if found is None:
            raise UnmappableError(f"{url!r} is no plain http URL")
        name, uri = found[1], found[2]
        if "$" in name:
            raise UnmappableError("a server by variables: write a route for each value")
        group = self._group(name, directive)
        settings = RouteSettings(group.pools, keep_query=not rewritten.endswith("?"))
        regex, replace = rule.regex, rewritten
        if uri and not rewritten:  # behind a rewrite nginx leaves the URI out
            regex, replace = _replaced_path(rule, written, uri, settings)
        replace = replace.removesuffix("?")
        groups = re2.compile(regex).groups if regex is not None else 0
        if any(int(number) > groups for number in re.findall(r"\\(\d)", replace)):
            raise UnmappableError("groups of an expression that isn't its location's")
        read_headers(self.context, scope, name, settings)
        self._read_deadline(scope, settings)
        self._read_connect_timeout(scope, group)
        self._read_retries(scope, group)
        self._read_max_body(scope, settings)
        self.context.limits.of(scope, settings, self.context.routes.server)
        if settings.websocket:
            group.sockets = True
        self.context.routes.proxied(directive, rule, regex, replace, settings)
        self.report.differs(
            directive,
            "paths go on normalised (slashes merged, dots resolved; an encoded slash "
            "is answered 400), and Location of answers as servers send it",
        )

    def _group(self, name: str, directive: Directive) -> Group:
        """The pool of an upstream, or of an address."""
        groups = self.context.groups
        group = groups.get(name)
        if group is None:
            address = address_of(name)
            group = groups.get(address)
            if group is None:
                group = groups[address] = Group(pool_name(f"at-{address}"), directive.place)
                group.first.append(Server(address, 1, False, directive.place))
        group.used = True
        return group

    def _read_deadline(self, scope: Scope, settings: RouteSettings) -> None:
        settings.deadline_ms = USUAL_READ_MS
        directive = scope.one("proxy_read_timeout")
        if directive is None:
            return
        try:
            settings.deadline_ms = _timeout_ms(directive)
            self.report.differs(directive, "the whole answer must come in this time, not each part of it")
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}; 60 s hold")

    def _read_connect_timeout(self, scope: Scope, group: Group) -> None:
        directive = scope.one("proxy_connect_timeout")
        if directive is None:
            return
        try:
            wanted_ms = _timeout_ms(directive)
            group.connect_ms = min(group.connect_ms or wanted_ms, wanted_ms)
            self.report.differs(
                directive, "connect_timeout of the pool: the shortest that a location asks for"
            )
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}; 500 ms hold")

    def _read_retries(self, scope: Scope, group: Group) -> None:
        """proxy_next_upstream and those that bound it."""
        after = scope.one("proxy_next_upstream")
        if after is not None and after.args == ("off",):
            group.tries = 1
            self.report.differs(after, "attempts = 1 of the pool, for all its locations")
        elif after is not None:
            self.report.differs(
                after,
                "the class says what may be tried again: never what is unsafe and may "
                "have run, non_idempotent or not",
            )
        tries = scope.one("proxy_next_upstream_tries")
        if tries is not None and tries.args and tries.args[0].isdecimal():
            wanted = int(tries.args[0])
            if wanted:
                group.tries = min(group.tries or wanted, wanted)
            self.report.differs(tries, "attempts of the pool: the fewest that a location asks for")
        elif tries is not None:
            self.report.not_mapped(tries, "no whole number")
        longest = scope.one("proxy_next_upstream_timeout")
        if longest is not None:
            self.report.differs(longest, "attempts end with the class's deadline")

    def _read_max_body(self, scope: Scope, settings: RouteSettings) -> None:
        settings.max_body = USUAL_BODY_BYTES
        directive = scope.one("client_max_body_size")
        if directive is not None:
            try:
                wanted_bytes = size_bytes(directive.args[0] if directive.args else "")
                unbounded = wanted_bytes == 0 or wanted_bytes > LARGEST_BODY_BYTES
                settings.max_body = LARGEST_BODY_BYTES if unbounded else wanted_bytes
                if unbounded:
                    self.report.differs(directive, "64 MiB is the longest body")
                else:
                    self.report.mapped(directive, "max_body")
            except UnmappableError as why:
                self.report.not_mapped(directive, f"{why}; 1 MiB holds")
        self.context.max_bodies_bytes.append(settings.max_body)


def _timeout_ms(directive: Directive) -> int:
    """A directive's time, from 1 ms to a day; raises UnmappableError."""
    return max(1, min(time_ms(directive.args[0] if directive.args else ""), LONGEST_TIMEOUT_MS))


def _replaced_path(rule: Rule, written: str, uri: str, settings: RouteSettings) -> tuple[str | None, str]:
    """The expression that a path must match, and what replaces it, for a proxy_pass with a URI.

    `written` is the argument before constants were filled in: with variables anywhere, the URI goes on as it
    is. Raises UnmappableError.
    """
    if "$" in written:
        settings.keep_query = uri.endswith("$is_args$args")
        uri = uri.removesuffix("$is_args$args")
        if "$" not in uri:
            return _whole_path(rule), replacement(uri)
    return _with_uri(rule, uri)


def _whole_path(rule: Rule) -> str | None:
    """What matches a whole path, so that all of it is replaced."""
    if rule.exact is not None or rule.regex is not None:
        return rule.regex
    return f"^{re2.escape(rule.location.text)}"


def _with_uri(rule: Rule, uri: str) -> tuple[str | None, str]:
    """What proxy_pass with a URI makes of a path: that in place of what the location matched."""
    if rule.exact is not None:
        if "$" in uri:
            raise UnmappableError("variables in its URI")
        return None, uri
    if rule.location.kind is Kind.REGEX or rule.regex is not None:
        if set(variables(uri)) - set("123456789") or not variables(uri):
            raise UnmappableError("under a regular expression only its groups may stand in the URI")
        return rule.regex, replacement(uri)
    if "$" in uri:
        raise UnmappableError("variables in its URI")
    # a text in place of a text: borders of segments don't matter to nginx
    return "^" + re2.escape(rule.location.text) + "(.*)", replacement(uri) + "\\1"


def replacement(text: str) -> str:
    """$1 as \\1; raises UnmappableError on other variables."""
    made, at = "", 0
    for found in VARIABLE.finditer(text):
        name = found[1] or found[2]
        if not name.isdigit() or name == "0":
            raise UnmappableError(f"${name} in a path has no counterpart")
        made += text[at : found.start()].replace("\\", "\\\\") + f"\\{name}"
        at = found.end()
    return made + text[at:].replace("\\", "\\\\")
