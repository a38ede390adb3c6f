"""The routes of a server's locations: answers of their own, rewrites, and requests that are passed on."""

from __future__ import annotations

import re

import re2

from plovertrail.decisions.templates import escaped, parse_template
from plovertrail.nginx.context import ImportContext, UnmappableServerError
from plovertrail.nginx.directives import GUARDS
from plovertrail.nginx.locations import Kind, Location, Region, Rule, runs, whole
from plovertrail.nginx.proxy_pass import ProxyPass, replacement
from plovertrail.nginx.scope import Scope, guard_note
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.variables import VARIABLE, UnmappableError, template

REDIRECTS = (301, 302, 303, 307, 308)
NO_ANSWER = 444  # nginx's own: close the connection
ABSOLUTE_URL = re.compile(r"https?://|\$scheme")


class LocationRoutes:
    """Writes the routes of one server's locations; `origin` is the template that its redirects begin with."""

    def __init__(self, context: ImportContext, origin: str) -> None:
        self.context = context
        self.report = context.report
        self.routes = context.routes
        self.proxy_pass = ProxyPass(context)
        self.origin = origin

    def answer_all(self, scope: Scope) -> bool:
        """Add what a server answers before it looks for a location; whether nothing is left for one.

        Raises UnmappableServerError.
        """
        for directive in scope.directives:
            rule = Rule(Location(Kind.PREFIX, "", directive, scope), Region())
            if directive.name == "rewrite":
                self._rewrite(directive, rule)
            elif directive.name == "return":
                self._return(directive, rule)
                for each in scope.directives:
                    if each.name == "location":
                        self.report.not_mapped_block(each, f"never reached: {directive.place} answers all")
                return True
        return False

    def add_rule(self, rule: Rule) -> None:
        """Add the routes of one place in the order of locations; raises UnmappableServerError."""
        block, scope = rule.location.directive, rule.location.scope
        if rule.region.empty:
            self._note_never_reached(block, scope)
            return
        if rule.slash:
            location = f"{self.origin}{escaped(rule.location.text)}{{args}}"
            self.routes.add(block, rule, respond=(301, location, ""))
            return
        guard = scope.guard()
        if guard is not None:
            self._shut_by_guard(rule, guard)
            return
        for directive in scope.directives:
            if directive.name == "rewrite":
                self._rewrite(directive, rule)
            elif directive.name == "return":
                self._return(directive, rule)
                self.report.mapped(block, "its requests are answered here")
                return
        self._pass_on(rule)

    def _note_never_reached(self, block: Directive, scope: Scope) -> None:
        for each in (block, *scope.directives):
            if not self.report.known(each):
                self.report.no_effect(
                    each,
                    f"never reached: a longer prefix than that around {block.place} takes its requests",
                )

    def _shut_by_guard(self, rule: Rule, guard: Directive) -> None:
        """A directive that may keep somebody out isn't carried over: all that stands under it is shut."""
        self.report.not_mapped(guard, guard_note(guard))
        for each in rule.location.scope.directives:
            asks = each.name in GUARDS or each.name in ("proxy_pass", "return", "rewrite")
            if asks and not self.report.known(each):
                why = f"its location is answered 501, for {guard.place}: {guard.name}"
                self.report.not_mapped(each, why)
        self._shut(rule, guard)

    def _pass_on(self, rule: Rule) -> None:
        block, scope = rule.location.directive, rule.location.scope
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
            self.proxy_pass.add_routes(rule, scope, passes[-1])
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

    # Answers

    def _return(self, directive: Directive, rule: Rule) -> None:
        args = [self.context.fill_constants(each, rule.location.scope) for each in directive.args]
        try:
            status, text = _status_and_text(args)
            if status == NO_ANSWER:
                self._answer_in_place_of_none(directive, rule)
                return
            if not 200 <= status <= 599:
                raise UnmappableError(f"{status} is no status of an answer")
            if status in REDIRECTS:
                self._answer(directive, rule, status, self._redirect_target(text), "")
            else:
                self._answer(directive, rule, status, "", template(text) if text else "")
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}; 501 is answered")
            self.routes.add(directive, rule, respond=(501, "", f"not imported from nginx: {directive.place}"))
        else:
            self.report.mapped(directive, "respond")

    def _answer_in_place_of_none(self, directive: Directive, rule: Rule) -> None:
        self.report.differs(
            directive,
            f"{NO_ANSWER} closes the connection unanswered, and every request has an answer here: "
            "404 is answered",
        )
        self.routes.add(directive, rule, respond=(404, "", ""))

    def _redirect_target(self, text: str) -> str:
        """A Location as nginx writes it: a path is made a URL."""
        if not text:
            raise UnmappableError("a redirect to nowhere")
        made = template(text)
        return f"{self.origin}{made}" if text.startswith("/") else made

    def _answer(self, directive: Directive, rule: Rule, status: int, location: str, body: str) -> None:
        """An answer whose templates have no groups but the rule's own; raises UnmappableError."""
        groups = re2.compile(rule.regex).groups if rule.regex is not None else 0
        for text in (location, body):
            if any(name.isdigit() and int(name) > groups for name in parse_template(text).names):
                raise UnmappableError("groups of an expression that isn't its location's")
        self.routes.add(directive, rule, respond=(status, location, body))

    # Rewrites

    def _rewrite(self, directive: Directive, rule: Rule) -> None:
        """One rewrite, as a route for the requests that it takes; the others go on.

        Raises UnmappableServerError where it can't be told which these are.
        """
        if len(directive.args) not in (2, 3):
            raise UnmappableServerError(directive, "it has neither two nor three parts")
        regex, text, flag = (*directive.args, "")[:3]
        text = self.context.fill_constants(text, rule.location.scope)
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
        try:
            if flag in ("redirect", "permanent") or ABSOLUTE_URL.match(text):
                self._rewrite_to_redirect(directive, taken, text, flag)
            else:
                self._rewrite_and_pass_on(directive, taken, text, flag)
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}: the requests that it takes are answered 501")
            self._shut(taken, directive)

    def _rewrite_to_redirect(self, directive: Directive, taken: Rule, text: str, flag: str) -> None:
        status = 301 if flag == "permanent" else 302
        keeps_query = not text.endswith("?")
        location = self._redirect_target(text.removesuffix("?"))
        if keeps_query and "?" in location:
            raise UnmappableError("a query in the replacement, and the request's own behind it")
        self._answer(directive, taken, status, location + ("{args}" if keeps_query else ""), "")
        self.report.mapped(directive, "respond")

    def _rewrite_and_pass_on(self, directive: Directive, taken: Rule, text: str, flag: str) -> None:
        scope = taken.location.scope
        if flag != "break" or not scope.location:
            raise UnmappableError("what it becomes is looked up again among all locations")
        passes = scope.own("proxy_pass")
        if not passes:
            raise UnmappableError("its location serves files")
        if "?" in text[:-1] or not text.startswith("/"):
            raise UnmappableError("the replacement is no plain path")
        self.proxy_pass.add_routes(taken, scope, passes[-1], rewritten=replacement(text))
        self.report.mapped(directive, "rewrite")


def _status_and_text(args: list[str]) -> tuple[int, str]:
    """The status and the body or URL of a return; raises UnmappableError."""
    if not args or len(args) > 2:
        raise UnmappableError("neither a status nor a URL")
    if len(args) == 1 and not args[0].isdecimal():
        return 302, args[0]
    return int(args[0]), args[1] if len(args) == 2 else ""
