"""An nginx configuration as an operator's file, and a report on each of its directives.

What can't be carried over and decides who may pass, or what a request becomes, shuts its location: the import
answers 501 there and names the line. Requests are safe to repeat only for GET and HEAD; nothing that nginx
says of retries makes another one so.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import re2

from plovertrail.config.operator import parse
from plovertrail.config.problems import ConfigError
from plovertrail.decisions.paths import BadTarget, normalise_path
from plovertrail.decisions.templates import escaped, parse_template
from plovertrail.nginx.directives import GUARDS, INHERITED, KNOWN
from plovertrail.nginx.limits import Limits
from plovertrail.nginx.locations import Kind, Location, NestedPatternsError, Region, Rule, order, runs, whole
from plovertrail.nginx.report import Report, Treatment
from plovertrail.nginx.routes import RouteSettings, RouteWriter
from plovertrail.nginx.scope import Scope, size_bytes, time_ms, time_text
from plovertrail.nginx.tree import Directive, Tree
from plovertrail.nginx.upstreams import Group, Server, address_of, pool_name, pool_text, read_group
from plovertrail.nginx.variables import VARIABLE, UnmappableError, template, variables

MOST_ROUNDS = 20
LARGEST_BODY = 64 << 20
USUAL_BODY = 1 << 20
USUAL_READ_MS = 60_000
AIM_MS = 1_000
LISTEN_FLAGS = ("default_server", "default")
LISTEN_HINTS = re.compile(
    r"(backlog|rcvbuf|sndbuf|fastopen|so_keepalive|setfib|accept_filter)=.*|deferred|bind|"
    r"reuseport|ipv6only=.*"
)
NEVER_REACHED = re.compile(r"routes\[(\d+)\]")
HEADER = """\
# Written by `plovertrail import-nginx`; docs/nginx-import.md tells how nginx's words were taken.
# Locations have no class in nginx: GET and HEAD are taken for safe to repeat, all else for unsafe, so that
# nothing else is ever sent twice. Where servers drop repeats by a key, write a keyed class.
"""


class UnmappableServerError(Exception):
    """A directive for which a whole server can't be carried over."""

    def __init__(self, by: Directive, why: str) -> None:
        super().__init__(why)
        self.by = by
        self.why = why


class NothingToServeError(Exception):
    """No server block of the configuration listens where the daemon can."""


@dataclass(eq=False)
class ServerBlock:
    directive: Directive
    scope: Scope
    number: int
    listens: list[tuple[str, bool]] = field(
        default_factory=list
    )  # address, and whether it is the default there
    names: list[tuple[str, Directive]] = field(default_factory=list)  # as the operator's file has them
    lost: set[tuple[str, str]] = field(default_factory=set)  # addresses and names that are another server's


@dataclass
class Imported:
    """What has become of a configuration."""

    text: str
    report: Report


class Importer:
    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.report = Report()
        self.groups: dict[str, Group] = {}  # by the name in nginx
        self.main = Scope(tree.main)
        self.limits = Limits(self.report)
        self.routes = RouteWriter()
        self.listeners: dict[str, str] = {}  # name by address
        self.listened: dict[str, str] = {}  # by address, where it is first written
        self.fixed: dict[str, str] = {}  # variables with one value, of maps
        self.upgrades: set[str] = set()  # variables that say whether a client asks for another protocol
        self.bodies: list[int] = []
        self.times: dict[str, str] = {}  # of all listeners
        self.origin = ""  # of redirects to a path, of the server that is read

    def run(self) -> Imported:
        """Raises NothingToServeError, and AssertionError where the result would not pass `check`."""
        for include in self.tree.walk():
            if include.name == "include" and include.block is None:
                if include.wrong:
                    self.report.not_mapped(include, include.wrong)
                else:
                    self.report.mapped(include, "read in" if include.args else "")
        servers: list[ServerBlock] = []
        for http in self.main.own("http"):
            self.report.mapped(http)
            servers += self._http(Scope(http.block or [], self.main), len(servers))
        self._choose(servers)
        live = [server for server in servers if server.listens]
        if not live:
            raise NothingToServeError("no server block listens on an IPv4 address without TLS")
        for server in live:
            self._server(server)
        self._leftovers()
        self.report.close(self.tree)
        return Imported(self._text(), self.report)

    # http and its servers

    def _http(self, scope: Scope, known: int) -> list[ServerBlock]:
        for block in scope.own("upstream"):
            name = block.args[0] if block.args else ""
            if name in self.groups:
                self._shut_block(block, f"{self.groups[name].where} has this name: nginx refuses it")
                continue
            group = self.groups[name] = read_group(block, self.report)
            names = [other.name for other in self.groups.values() if other is not group]
            while group.name in names or f"{group.name}-backup" in names:
                group.name += "-"
        for block in scope.own("map"):
            self._map(block)
        self.limits.zones(scope)
        return [
            ServerBlock(block, Scope(block.block or [], scope), known + number)
            for number, block in enumerate(scope.own("server"), 1)
        ]

    def _map(self, block: Directive) -> None:
        """Of maps the usual one for WebSockets is taken up, and one that has only a default."""
        inner = block.block or []
        plain = [each for each in inner if each.name not in ("hostnames", "volatile")]
        if (
            len(block.args) == 2
            and [each.name for each in plain] == ["default"]
            and len(plain[0].args) == 1
            and "$" not in plain[0].args[0]
        ):
            self.fixed[block.args[1].removeprefix("$")] = plain[0].args[0]
            for each in (block, *inner):
                self.report.mapped(each, "a constant")
            return
        if (
            len(block.args) == 2
            and block.args[0] == "$http_upgrade"
            and all(each.name in ("default", "") or each.name.startswith("'") for each in inner)
        ):
            self.upgrades.add(block.args[1])
            for each in (block, *inner):
                self.report.mapped(each, "a client that asks for a WebSocket")
        else:
            self._shut_block(block, "variables by a map have no counterpart: write a route for each value")

    def _shut_block(self, block: Directive, why: str) -> None:
        """A block that isn't imported, and all that is in it."""
        self.report.not_mapped(block, why)
        stack = list(block.block or [])
        while stack:
            inner = stack.pop()
            if inner.name != "include":
                self.report.not_mapped(inner, f"in a block that isn't imported, {block.place}")
            stack.extend(inner.block or [])

    def _choose(self, servers: Sequence[ServerBlock]) -> None:
        """Where servers listen, which is the default there, and who has which name."""
        wanted: dict[str, list[tuple[ServerBlock, bool, Directive]]] = {}
        for server in servers:
            listens = server.scope.own("listen")
            for listen in listens:
                self._listen(server, listen, wanted)
            if not listens:
                wanted.setdefault("0.0.0.0:80", []).append((server, False, server.directive))
                self.report.differs(server.directive, "it listens nowhere: taken for port 80")
        for address in [each for each in wanted if not each.startswith("0.0.0.0:")]:
            wide = f"0.0.0.0:{address.rpartition(':')[2]}"
            if wide in wanted:
                for _, _, listen in wanted.pop(address):
                    self.report.not_mapped(
                        listen, f"{wide} is listened on as well: the daemon has one of them"
                    )
        for address, found in wanted.items():
            first = next((server for server, default, _ in found if default), found[0][0])
            self.listeners[address] = "nginx-" + address.replace(":", "-")
            self.listened[address] = found[0][2].place
            for server in dict.fromkeys(server for server, _, _ in found):
                server.listens.append((address, server is first))
        for server in servers:
            if server.listens:
                self._names(server)
            else:
                self._shut_block(server.directive, "it listens on nothing that the daemon can listen on")
        taken: dict[tuple[str, str], Directive] = {}
        for server in servers:
            for address, _ in server.listens:
                for name, directive in server.names:
                    before = taken.setdefault((address, name), directive)
                    if before is not directive:
                        server.lost.add((address, name))
                        self.report.differs(
                            directive,
                            f"{name}: {before.place} has this name already on {address}, "
                            "and nginx ignores the second",
                        )
        for server in servers:
            if server.listens and not self._placings(server):
                server.listens = []
                self._shut_block(server.directive, "no request reaches it but one without a Host")

    def _listen(
        self,
        server: ServerBlock,
        listen: Directive,
        wanted: dict[str, list[tuple[ServerBlock, bool, Directive]]],
    ) -> None:
        text, options = (listen.args[0], listen.args[1:]) if listen.args else ("", ())
        try:
            if text.startswith("unix:") or text.startswith("["):
                raise UnmappableError("the daemon listens on IPv4 addresses only")
            host, colon, port = text.rpartition(":")
            if not colon:
                host, port = ("*", text) if text.isdecimal() else (text, "80")
            host = {"*": "0.0.0.0", "localhost": "127.0.0.1"}.get(host, host)
            try:
                address = f"{ipaddress.IPv4Address(host)}:{int(port)}"
            except ValueError:
                raise UnmappableError(f"{text!r} is no IPv4 address and port") from None
            hints = []
            for option in options:
                if LISTEN_HINTS.fullmatch(option):
                    hints.append(option)
                elif option not in LISTEN_FLAGS:
                    raise UnmappableError(f"{option}: the daemon speaks plain HTTP/1.1; end it in front")
        except UnmappableError as why:
            self.report.not_mapped(listen, str(why))
            return
        wanted.setdefault(address, []).append((server, any(o in LISTEN_FLAGS for o in options), listen))
        if hints:
            self.report.differs(listen, f"{' '.join(hints)}: as the daemon has it")
        else:
            self.report.mapped(listen, f"listeners.nginx-{address.replace(':', '-')}")

    def _names(self, server: ServerBlock) -> None:
        for directive in server.scope.own("server_name"):
            for name in directive.args:
                try:
                    for host in hosts_of(name):
                        if host not in [known for known, _ in server.names]:
                            server.names.append((host, directive))
                    if not self.report.known(directive):
                        self.report.mapped(directive, "hosts")
                except UnmappableError as why:
                    self.report.not_mapped(directive, f"{name}: {why}")

    # One server

    def _server(self, server: ServerBlock) -> None:
        self.report.mapped(server.directive, "hosts of its routes")
        self.routes.begin(server.number, self._placings(server))
        plain = all(address.endswith(":80") for address, _ in server.listens)
        self.origin = "http://{host}" if plain else "http://{host}:{port}"
        try:
            guard = server.scope.guard()
            if guard is not None:
                raise UnmappableServerError(guard, shut_note(guard))
            if self._answers_all(server.scope):
                return
            locations = self._locations(server.scope, None)
            for rule in order(locations):
                self._rule(rule)
        except NestedPatternsError as crossed:
            self._shut_server(
                server, crossed.location.directive, "two patterns that must hold together can't be one route"
            )
        except UnmappableServerError as shut:
            self._shut_server(server, shut.by, shut.why)
        else:
            if not any(each.text == "/" for each in locations if each.kind in (Kind.PREFIX, Kind.FINAL)):
                # where no location matches nginx serves files
                self.routes.fixed(server.directive, Region(), 404, "no route")

    def _placings(self, server: ServerBlock) -> list[tuple[list[str], list[str]]]:
        """Hosts and listeners, those with the same hosts together: a default server takes any host, and a
        name that another server has on one address may be its own on the next."""
        found: dict[tuple[str, ...], list[str]] = {}
        for address, is_default in server.listens:
            hosts = [name for name, _ in server.names if (address, name) not in server.lost]
            if is_default:
                hosts.append("*")
            if hosts:
                found.setdefault(tuple(hosts), []).append(self.listeners[address])
        return [(list(hosts), listeners) for hosts, listeners in found.items()]

    def _shut_server(self, server: ServerBlock, by: Directive, why: str) -> None:
        self.report.not_mapped(by, f"{why}; the whole server is answered 501")
        self.report.differs(server.directive, f"all of it is answered 501, for {by.place}: {by.name}")
        self.routes.begin(server.number, self._placings(server))
        self.routes.fixed(by, Region(), 501, f"not imported from nginx: {by.place}: {by.name}")
        for each in server.directive.block or []:
            if each.name in ("location", "return", "rewrite"):
                self._shut_block(each, f"its server is answered 501, for {by.place}")

    def _answers_all(self, scope: Scope) -> bool:
        """What a server answers before it looks for a location; whether nothing is left for one."""
        for directive in scope.directives:
            if directive.name == "rewrite":
                self._rewrite(directive, Rule(Location(Kind.PREFIX, "", directive, scope), Region()))
            elif directive.name == "return":
                self._return(directive, Rule(Location(Kind.PREFIX, "", directive, scope), Region()))
                for each in scope.directives:
                    if each.name == "location":
                        self._shut_block(each, f"never reached: {directive.place} answers all")
                return True
        return False

    # Locations

    def _locations(self, scope: Scope, outer: Location | None) -> list[Location]:
        """Those of one level, without what nginx refuses. Raises UnmappableServerError."""
        found: list[Location] = []
        for block in scope.own("location"):
            made = self._location(block, scope)
            if made is None:
                continue
            same = [
                each
                for each in found
                if made.kind is not Kind.REGEX
                and each.text == made.text
                and each.kind is not Kind.REGEX
                and (each.kind is Kind.EXACT) == (made.kind is Kind.EXACT)
            ]
            outside = outer is not None and (
                outer.kind is Kind.EXACT
                or (
                    outer.kind is not Kind.REGEX
                    and made.kind is not Kind.REGEX
                    and not made.text.startswith(outer.text)
                )
            )
            if same:
                self._shut_block(block, f"nginx refuses it: {same[0].directive.place} is the same location")
            elif outside and outer is not None:
                self._shut_block(block, f"nginx refuses it: it is not within {outer.directive.place}")
            else:
                found.append(made)
        return found

    def _location(self, block: Directive, outer: Scope) -> Location | None:
        """One block and what is nested in it; None if no request comes to it.

        Raises UnmappableServerError.
        """
        scope = Scope(block.block or [], outer, location=True)
        args = block.args
        modifier, text = (args[0], args[1]) if len(args) == 2 else ("", args[0] if args else "")
        if len(args) == 1:  # the modifier may stand without a space
            found = re.match(r"(=|\^~|~\*|~)(.+)", text, re.S)
            modifier, text = (found[1], found[2]) if found else ("", text)
        if text.startswith("@") and not modifier:
            self._shut_block(
                block, "a named location: what leads to it (error_page, try_files) isn't imported"
            )
            return None
        if modifier in ("~", "~*"):
            regex = text if modifier == "~" else f"(?i){text}"
            if wrong := runs(whole(regex)):
                raise UnmappableServerError(block, f"{wrong}, so which requests it takes isn't known")
            made = Location(Kind.REGEX, regex, block, scope)
        else:
            kind = {"=": Kind.EXACT, "^~": Kind.FINAL, "": Kind.PREFIX}.get(modifier)
            path = seen_path(text)
            if kind is None or path is None:
                self._shut_block(block, "no request comes to such a location here: it is left out")
                return None
            made = Location(kind, path, block, scope)
        made.redirects = (
            made.kind in (Kind.PREFIX, Kind.FINAL)
            and bool(scope.own("proxy_pass"))
            and len(made.text) > 1
            and made.text.endswith("/")
        )
        made.nested = self._locations(scope, made)
        return made

    def _rule(self, rule: Rule) -> None:
        """The routes of one place in the order."""
        block = rule.location.directive
        scope = rule.location.scope
        if rule.region.empty:
            for each in (block, *scope.directives):
                if not self.report.known(each):
                    self.report.no_effect(
                        each,
                        f"never reached: a longer prefix than that around {block.place} takes its requests",
                    )
            return
        if rule.slash:
            self.routes.add(
                block, rule, respond=(301, f"{self.origin}{escaped(rule.location.text)}{{args}}", "")
            )
            return
        guard = scope.guard()
        if guard is not None:
            self.report.not_mapped(guard, shut_note(guard))
            for each in scope.directives:
                asks = each.name in GUARDS or each.name in ("proxy_pass", "return", "rewrite")
                if asks and not self.report.known(each):
                    why = f"its location is answered 501, for {guard.place}: {guard.name}"
                    self.report.not_mapped(each, why)
            self._shut(rule, guard)
            return
        for directive in scope.directives:
            if directive.name == "rewrite":
                self._rewrite(directive, rule)
            elif directive.name == "return":
                self._return(directive, rule)
                self.report.mapped(block, "its requests are answered here")
                return
        passes = scope.own("proxy_pass")
        if not passes:
            self.report.not_mapped(
                block,
                "it serves files, and the daemon has none: its requests are answered "
                "501; put a file server behind a pool",
            )
            self._shut(rule, block)
            return
        try:
            self._proxy(rule, scope, passes[-1])
            self.report.mapped(block, "its routes; GET and HEAD are safe to repeat, all else is unsafe")
        except UnmappableError as why:
            self.report.not_mapped(passes[-1], f"{why}; its location is answered 501")
            self._shut(rule, passes[-1])

    def _shut(self, rule: Rule, by: Directive) -> None:
        """A rule's requests are answered 501, for a directive that isn't carried over."""
        if by is not rule.location.directive:
            self.report.differs(rule.location.directive, f"answered 501, for {by.place}: {by.name}")
        self.routes.add(
            rule.location.directive,
            rule,
            respond=(501, "", f"not imported from nginx: {by.place}: {by.name}"),
        )

    # Answers and rewrites

    def _plain(self, text: str, scope: Scope) -> str:
        """A text with the values of what is constant at its place."""
        known = self.fixed | scope.constants()
        return VARIABLE.sub(lambda found: known.get(found[1] or found[2], found[0]), text)

    def _return(self, directive: Directive, rule: Rule) -> None:
        args = [self._plain(each, rule.location.scope) for each in directive.args]
        try:
            if not args or len(args) > 2:
                raise UnmappableError("neither a status nor a URL")
            if len(args) == 1 and not args[0].isdecimal():
                status, text = 302, args[0]
            else:
                status, text = int(args[0]), args[1] if len(args) == 2 else ""
            if status == 444:
                raise UnmappableError(
                    "444 closes the connection unanswered, and every request has an answer here: "
                    "404 is answered"
                )
            if not 200 <= status <= 599:
                raise UnmappableError(f"{status} is no status of an answer")
            if status in (301, 302, 303, 307, 308):
                self._add(directive, rule, status, self._leads_to(text), "")
            else:
                self._add(directive, rule, status, "", template(text) if text else "")
        except UnmappableError as why:
            if "444" in str(why):
                self.report.differs(directive, str(why))
                self.routes.add(directive, rule, respond=(404, "", ""))
            else:
                self.report.not_mapped(directive, f"{why}; 501 is answered")
                self.routes.add(
                    directive, rule, respond=(501, "", f"not imported from nginx: {directive.place}")
                )
        else:
            self.report.mapped(directive, "respond")

    def _leads_to(self, text: str) -> str:
        """A Location as nginx writes it: a path is made a URL."""
        if not text:
            raise UnmappableError("a redirect to nowhere")
        made = template(text)
        return f"{self.origin}{made}" if text.startswith("/") else made

    def _add(self, directive: Directive, rule: Rule, status: int, location: str, body: str) -> None:
        """An answer whose templates have no groups but the rule's own; raises UnmappableError."""
        groups = re2.compile(rule.regex).groups if rule.regex is not None else 0
        for text in (location, body):
            if any(name.isdigit() and int(name) > groups for name in parse_template(text).names):
                raise UnmappableError("groups of an expression that isn't its location's")
        self.routes.add(directive, rule, respond=(status, location, body))

    def _rewrite(self, directive: Directive, rule: Rule) -> None:
        """One rewrite, as a route for the requests that it takes; the others go on.

        Raises UnmappableServerError where it can't be told which these are.
        """
        if len(directive.args) not in (2, 3):
            raise UnmappableServerError(directive, "it has neither two nor three parts")
        regex, text, flag = (*directive.args, "")[:3]
        scope = rule.location.scope
        text = self._plain(text, scope)
        if wrong := runs(whole(regex)):
            raise UnmappableServerError(directive, f"{wrong}, so which requests it takes isn't known")
        if rule.regex is not None:
            raise UnmappableServerError(directive, "a rewrite under a regular expression can't be one route")
        taken = Rule(rule.location, rule.region, regex=regex)
        if rule.exact is not None:
            match = re2.search(regex, rule.exact)
            if match is None:
                self.report.no_effect(directive, "never taken: the location is one path")
                return
            # its groups are known ahead
            groups = {str(number): part or "" for number, part in enumerate(match.groups(), 1)}
            text = VARIABLE.sub(lambda found: groups.get(found[1] or found[2], found[0]), text)
            taken = rule
        redirects = flag in ("redirect", "permanent") or re.match(r"https?://|\$scheme", text)
        try:
            if redirects:
                status = 301 if flag == "permanent" else 302
                keeps = not text.endswith("?")
                where = self._leads_to(text.removesuffix("?"))
                if keeps and "?" in where:
                    raise UnmappableError("a query in the replacement, and the request's own behind it")
                self._add(directive, taken, status, where + ("{args}" if keeps else ""), "")
                self.report.mapped(directive, "respond")
                return
            if flag != "break" or not scope.location:
                raise UnmappableError("what it becomes is looked up again among all locations")
            passes = scope.own("proxy_pass")
            if not passes:
                raise UnmappableError("its location serves files")
            if "?" in text[:-1] or not text.startswith("/"):
                raise UnmappableError("the replacement is no plain path")
            self._proxy(taken, scope, passes[-1], rewritten=replacement(text))
            self.report.mapped(directive, "rewrite")
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}: the requests that it takes are answered 501")
            self._shut(taken, directive)

    # Requests that go on

    def _proxy(self, rule: Rule, scope: Scope, directive: Directive, rewritten: str = "") -> None:
        """The two routes of a location that passes its requests on. Raises UnmappableError."""
        written = directive.args[0] if directive.args else ""
        url = self._plain(written, scope)
        found = re.fullmatch(r"http://([^/?#]+)([^?#]*)", url)
        if found is None:
            raise UnmappableError(f"{url!r} is no plain http URL")
        name, uri = found[1], found[2]
        if "$" in name:
            raise UnmappableError("a server by variables: write a route for each value")
        group = self._group(name, directive)
        regex, replace = rule.regex, rewritten
        settings = RouteSettings(group.pools, keep_query=not rewritten.endswith("?"))
        if uri and not rewritten:  # behind a rewrite nginx leaves the URI out
            if "$" in written:  # with variables anywhere, the URI goes on as it is
                settings.keep_query = uri.endswith("$is_args$args")
                uri = uri.removesuffix("$is_args$args")
            if "$" in written and "$" not in uri:
                regex, replace = self._as_it_is(rule), replacement(uri)
            else:
                regex, replace = self._with_uri(rule, uri)
        replace = replace.removesuffix("?")
        groups = re2.compile(regex).groups if regex is not None else 0
        if any(int(number) > groups for number in re.findall(r"\\(\d)", replace)):
            raise UnmappableError("groups of an expression that isn't its location's")
        self._headers(scope, name, settings)
        self._times(scope, group, settings)
        self._body(scope, settings)
        self.limits.of(scope, settings, self.routes.server)
        if settings.websocket:
            group.sockets = True
        self.routes.proxied(directive, rule, regex, replace, settings)
        self.report.differs(
            directive,
            "paths go on normalised (slashes merged, dots resolved; an encoded slash "
            "is answered 400), and Location of answers as servers send it",
        )

    def _group(self, name: str, directive: Directive) -> Group:
        """The pool of an upstream, or of an address."""
        group = self.groups.get(name)
        if group is None:
            address = address_of(name)
            group = self.groups.get(address)
            if group is None:
                group = self.groups[address] = Group(pool_name(f"at-{address}"), directive.place)
                group.first.append(Server(address, 1, False, directive.place))
        group.used = True
        return group

    @staticmethod
    def _as_it_is(rule: Rule) -> str | None:
        """What matches a whole path, so that all of it is replaced."""
        if rule.exact is not None or rule.regex is not None:
            return rule.regex
        return f"^{re2.escape(rule.location.text)}"

    def _with_uri(self, rule: Rule, uri: str) -> tuple[str | None, str]:
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

    def _headers(self, scope: Scope, host: str, settings: RouteSettings) -> None:
        """proxy_set_header of the nearest level that has any; Host is proxy_pass's, if it says nothing."""
        settings.headers["Host"] = escaped(host)
        given = scope.nearest("proxy_set_header")
        last = {directive.args[0].lower(): directive for directive in given if directive.args}
        for directive in given:
            if directive.args and last[directive.args[0].lower()] is not directive:
                self.report.not_mapped(
                    directive, "the header is named again at this level, and the last one counts"
                )
                continue
            if len(directive.args) != 2:
                self.report.not_mapped(directive, "neither a name nor a value")
                continue
            name, value = directive.args
            try:
                self._header(directive, name, self._plain(value, scope), host, settings)
            except UnmappableError as why:
                settings.removed.append(name)
                settings.headers.pop(name, None)
                self.report.not_mapped(directive, f"{why}: the client's own is removed, and none is sent")

    def _header(
        self, directive: Directive, name: str, value: str, host: str, settings: RouteSettings
    ) -> None:
        low = name.lower()
        if not re.fullmatch(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+", name):
            raise UnmappableError("no name of a header")
        if low == "upgrade" and value == "$http_upgrade":
            settings.websocket = True
            self.report.mapped(directive, "websocket")
        elif low == "connection":
            if value == "upgrade" or value in self.upgrades:
                self.report.mapped(directive, "websocket")
            else:
                self.report.no_effect(directive, "connections are the daemon's own, and kept")
        elif low in ("content-length", "transfer-encoding", "te", "keep-alive", "expect", "upgrade"):
            self.report.no_effect(directive, "it is kept right by itself")
        elif low in ("x-request-id", "x-deadline-ms", "idempotency-key"):
            if (low, value) == ("x-request-id", "$request_id"):
                self.report.differs(directive, "a client's own is kept, if it is one")
            else:
                self.report.not_mapped(directive, "it is the daemon's to send, or the client's")
        elif low == "host" and value == "$http_host":
            settings.headers.pop("Host", None)
            self.report.mapped(directive, "as the client sent it")
        elif not value:
            settings.removed.append(name)
            self.report.mapped(directive, "remove_headers")
        else:
            made = template(value, {"proxy_host": escaped(host)})
            if any(name.isdigit() for name in parse_template(made).names):
                raise UnmappableError("groups of an expression")
            if not re.fullmatch(r"[\t -~]*", made):
                raise UnmappableError("a value that is not plain ASCII")
            key = "Host" if low == "host" else name
            settings.headers.pop(
                next((known for known in settings.headers if known.lower() == low), ""), None
            )
            settings.headers[key] = made
            self.report.mapped(directive, "set_headers")

    def _times(self, scope: Scope, group: Group, settings: RouteSettings) -> None:
        settings.deadline_ms = USUAL_READ_MS
        read = scope.one("proxy_read_timeout")
        if read is not None:
            try:
                settings.deadline_ms = max(1, min(time_ms(read.args[0] if read.args else ""), 86_400_000))
                self.report.differs(read, "the whole answer must come in this time, not each part of it")
            except UnmappableError as why:
                self.report.not_mapped(read, f"{why}; 60 s hold")
        connect = scope.one("proxy_connect_timeout")
        if connect is not None:
            try:
                wanted = max(1, min(time_ms(connect.args[0] if connect.args else ""), 86_400_000))
                group.connect_ms = min(group.connect_ms or wanted, wanted)
                self.report.differs(
                    connect, "connect_timeout of the pool: the shortest that a location asks for"
                )
            except UnmappableError as why:
                self.report.not_mapped(connect, f"{why}; 500 ms hold")
        after = scope.one("proxy_next_upstream")
        if after is not None:
            if after.args == ("off",):
                group.tries = 1
                self.report.differs(after, "attempts = 1 of the pool, for all its locations")
            else:
                self.report.differs(
                    after,
                    "the class says what may be tried again: never what is unsafe and may "
                    "have run, non_idempotent or not",
                )
        tries = scope.one("proxy_next_upstream_tries")
        if tries is not None:
            if tries.args and tries.args[0].isdecimal():
                wanted = int(tries.args[0])
                if wanted:
                    group.tries = min(group.tries or wanted, wanted)
                self.report.differs(tries, "attempts of the pool: the fewest that a location asks for")
            else:
                self.report.not_mapped(tries, "no whole number")
        longest = scope.one("proxy_next_upstream_timeout")
        if longest is not None:
            self.report.differs(longest, "attempts end with the class's deadline")

    def _body(self, scope: Scope, settings: RouteSettings) -> None:
        settings.max_body = USUAL_BODY
        directive = scope.one("client_max_body_size")
        if directive is not None:
            try:
                wanted = size_bytes(directive.args[0] if directive.args else "")
                settings.max_body = min(wanted, LARGEST_BODY) if wanted else LARGEST_BODY
                if wanted == 0 or wanted > LARGEST_BODY:
                    self.report.differs(directive, "64 MiB is the longest body")
                else:
                    self.report.mapped(directive, "max_body")
            except UnmappableError as why:
                self.report.not_mapped(directive, f"{why}; 1 MiB holds")
        self.bodies.append(settings.max_body)

    # The end

    def _listener_times(self) -> dict[str, str]:
        """keepalive_timeout, and how long a client may take to send."""
        found: dict[str, str] = {}
        for key, names in (
            ("idle_timeout", ("keepalive_timeout",)),
            ("read_timeout", ("client_header_timeout", "client_body_timeout")),
        ):
            given = [each for each in self.tree.walk() if each.name in names and not self.report.known(each)]
            times: list[int] = []
            for directive in given:
                try:
                    times.append(time_ms(directive.args[0] if directive.args else ""))
                    self.report.differs(directive, f"{key} of all listeners: the longest that is written")
                except UnmappableError as why:
                    self.report.not_mapped(directive, str(why))
            longest = max(times, default=0)
            if longest:
                found[key] = time_text(longest)
        return found

    def _sets(self, directive: Directive) -> None:
        """One `set`: constants are filled in where they are used; of others each use is told."""
        if len(directive.args) == 2 and "$" not in directive.args[1]:
            self.report.differs(directive, "its value stands where it is used, if it is set once")
        else:
            self.report.not_mapped(directive, "a variable that isn't constant: what uses it isn't imported")

    def _leftovers(self) -> None:
        """What is known and nobody has taken up; what no imported location inherits has no effect."""
        self.times = self._listener_times()
        for directive in self.tree.written:
            if self.report.known(directive):
                continue
            if directive.name == "set":
                self._sets(directive)
            elif directive.name in GUARDS:
                self.report.not_mapped(directive, shut_note(directive))
            elif directive.name in KNOWN:
                self.report.mark(directive, *KNOWN[directive.name])
                for inner in self._inner(directive):
                    if not self.report.known(inner):
                        self.report.mark(inner, *KNOWN[directive.name])
            elif directive.name in INHERITED:
                self.report.no_effect(directive, "nothing that is imported inherits it")

    def _inner(self, directive: Directive) -> Iterator[Directive]:
        stack = list(directive.block or [])
        while stack:
            inner = stack.pop()
            yield inner
            stack.extend(inner.block or [])

    def _text(self) -> str:
        """The operator's file; routes that could never win are left out, as `check` refuses them."""
        for _ in range(MOST_ROUNDS):
            text = self._written()
            try:
                parse(text)
                return text
            except ConfigError as error:
                lost = {
                    int(found[1])
                    for problem in error.problems
                    if "never reached" in problem.what and (found := NEVER_REACHED.match(problem.place))
                }
                if not lost or len(lost) < len(error.problems):
                    raise AssertionError(str(error)) from None
                for number in lost:
                    route = self.routes.rows[number]
                    self.report.mark(route.directive, Treatment.NO_EFFECT, "")
                self.routes.rows = [row for number, row in enumerate(self.routes.rows) if number not in lost]
        raise AssertionError("routes that are never reached, and no end of them")

    def _written(self) -> str:
        lines = [HEADER, "[limits]", f'max_body = "{max([USUAL_BODY, *self.bodies])}B"', ""]
        for address, name in self.listeners.items():
            lines += [
                f"# {self.listened[address]}",
                f"[listeners.{name}]" if "." not in name else f'[listeners."{name}"]',
                f'address = "{address}"',
            ]
            lines += [f'{key} = "{value}"' for key, value in self.times.items()] + [""]
        for ms in sorted({row.settings.deadline_ms for row in self.routes.rows if row.settings} or {60_000}):
            places = [
                row.directive.place
                for row in self.routes.rows
                if row.settings and row.settings.deadline_ms == ms
            ]
            for effect in ("safe", "unsafe"):
                lines += [
                    f"# {places[0] if places else 'no location'}: the first that waits so long",
                    f"[classes.{effect}-{ms}ms]",
                    f'effect = "{effect}"',
                    f'aim = "{time_text(min(ms, AIM_MS))}"',
                    f'deadline = "{time_text(ms)}"',
                    "",
                ]
        if any(row.settings and row.settings.websocket for row in self.routes.rows):
            lines += [
                "[websockets.nginx]",
                'idle_timeout = "60s"  # as proxy_read_timeout; see docs/sockets.md',
                "",
            ]
        lines += self.limits.text()
        if not any(group.used for group in self.groups.values()):
            lines += ["[pools]", ""]
        for group in self.groups.values():
            if group.used:
                lines += pool_text(group)
        return "\n".join([*lines, *self.routes.text()]) + "\n"


def shut_note(directive: Directive) -> str:
    """Why a location under it is shut."""
    if directive.name in GUARDS:
        return "not carried over, and it decides who may pass or what is told: 501 for what stands under it"
    return "the importer doesn't know it, so it may guard what stands under it: that is answered 501"


def hosts_of(name: str) -> list[str]:
    """A server_name as hosts; raises UnmappableError."""
    if name.startswith("~"):
        regex = f"(?i){name[1:]}"
        if wrong := runs(regex):
            raise UnmappableError(wrong)
        return [f"~{regex}"]
    low = name.lower().rstrip(".")
    found = [low[1:], f"*{low}"] if low.startswith(".") else [low]
    for host in found:
        plain = host.removeprefix("*.").removesuffix(".*")
        if (
            not re.fullmatch(r"[a-z0-9_](?:[a-z0-9_.-]*[a-z0-9_-])?", plain)
            or ".." in plain
            or (host.startswith("*.") and host.endswith(".*"))
        ):
            raise UnmappableError("no name that requests come with")
    return found


def seen_path(text: str) -> str | None:
    """A location's text as paths are matched against it; None if none is like it."""
    if not text.startswith("/"):
        return None
    try:
        # nginx compares with decoded paths, so a location is written decoded
        seen = normalise_path(text.replace("%", "%25").encode())[1]
    except BadTarget:
        return None
    if text.endswith("/") and not seen.endswith("/"):
        seen += "/"
    return seen if "//" not in text and "/../" not in text else None


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
