"""nginx's choice of a location as an order of rules in which the first that matches wins; pure.

nginx takes an exact location first; then it remembers the longest prefix, looks into the locations nested in
it, and tries regular expressions in their order unless that prefix is `^~`; else the prefix is taken. Here a
rule has a pattern, a text that the path must begin with and texts that it must not, so that rules of
different prefixes exclude each other, and an order of them says the same.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

import re2

from plovertrail.nginx.scope import Scope
from plovertrail.nginx.tree import Directive

LONGEST_REGEX = 900


class Kind(enum.Enum):
    """The modifier of a location, as nginx writes it."""

    EXACT = "="
    PREFIX = ""
    FINAL = "^~"  # a prefix behind which no regular expression is tried
    REGEX = "~"


@dataclass(eq=False, slots=True)
class Location:
    """A location block with those nested in it."""

    kind: Kind
    text: str  # of a regular expression: as RE2 takes it
    directive: Directive
    scope: Scope  # what holds in it
    nested: list[Location] = field(default_factory=list)
    redirects: bool = False  # a request for it without its closing slash is sent there


@dataclass(frozen=True, slots=True)
class Region:
    """The paths that begin with one text and with none of others."""

    within: str = ""
    excepts: tuple[str, ...] = ()

    def has(self, path: str) -> bool:
        """Whether a path is in the region."""
        return path.startswith(self.within) and not (self.excepts and path.startswith(self.excepts))

    @property
    def empty(self) -> bool:
        """Whether no path is in it."""
        return bool(self.excepts) and self.within.startswith(self.excepts)

    def part(self, within: str, excepts: Sequence[str] = ()) -> Region:
        """Those of them that begin with another text as well, and with none of further ones."""
        inner = max(self.within, within, key=len)
        if not (self.within.startswith(within) or within.startswith(self.within)):
            return Region(inner, (inner,))  # no path begins with both
        # hazard: what is left out may begin what is left; then nothing is
        kept = dict.fromkeys(
            text for text in (*self.excepts, *excepts) if text.startswith(inner) or inner.startswith(text)
        )
        return Region(inner, tuple(kept))


@dataclass(frozen=True, slots=True)
class Rule:
    """Where a location is taken, if no rule before it matches."""

    location: Location
    region: Region
    exact: str | None = None  # the whole path
    regex: str | None = None  # searched for in the path
    slash: bool = False  # its closing slash is missing: the client is sent there


class NestedPatternsError(Exception):
    """Patterns that must match together, where one rule has one. The location that can't be placed."""

    def __init__(self, location: Location) -> None:
        super().__init__(location.text)
        self.location = location


def order(locations: Sequence[Location]) -> list[Rule]:
    """The rules of a server's locations, the first one first. Raises NestedPatternsError."""
    exact, nested, finals, regexes, rest = _level(locations, Region())
    return [*exact, *nested, *finals, *regexes, *rest]


def _level(locations: Sequence[Location], region: Region) -> tuple[list[Rule], ...]:
    """Of one level: exact ones, those nested in prefixes, what `^~` prefixes take, regular expressions, and
    what other prefixes take."""
    prefixes = sorted(
        (each for each in locations if each.kind in (Kind.PREFIX, Kind.FINAL)),
        key=lambda each: -len(each.text),
    )
    plain = {each.text for each in prefixes} | {each.text for each in locations if each.kind is Kind.EXACT}
    exact = [
        Rule(each, region, exact=each.text)
        for each in locations
        if each.kind is Kind.EXACT and region.has(each.text)
    ]
    exact += [
        Rule(each, region, exact=each.text[:-1], slash=True)
        for each in prefixes
        if each.redirects and each.text[:-1] not in plain and region.has(each.text[:-1])
    ]
    nested: list[Rule] = []
    finals: list[Rule] = []
    rest: list[Rule] = []
    for each in prefixes:
        longer = [
            other.text
            for other in prefixes
            if len(other.text) > len(each.text) and other.text.startswith(each.text)
        ]
        inner = region.part(each.text, longer)
        front, back = _inside(each, inner)
        nested += front
        (finals if each.kind is Kind.FINAL else rest).extend([*back, Rule(each, inner)])
    regexes: list[Rule] = []
    for each in locations:
        if each.kind is Kind.REGEX:
            regexes += _under_regex(each, region)
    return exact, nested, finals, regexes, rest


def _inside(prefix: Location, region: Region) -> tuple[list[Rule], list[Rule]]:
    """What is nested in a prefix: what goes before the regular expressions around it, and what behind."""
    if not prefix.nested:
        return [], []
    exact, nested, finals, regexes, rest = _level(prefix.nested, region)
    if finals and regexes:
        # the inner expressions are not tried behind an inner ^~, and the outer ones are
        shut = [each.text for each in prefix.nested if each.kind is Kind.FINAL]
        open_again = [
            each
            for each in prefix.nested
            if each.kind is Kind.PREFIX and any(each.text.startswith(text) for text in shut)
        ]
        if open_again:
            raise NestedPatternsError(open_again[0])
        regexes = [
            Rule(rule.location, rule.region.part("", shut), regex=rule.regex, exact=rule.exact)
            for rule in regexes
        ]
    return [*exact, *nested, *regexes], [*finals, *rest]


def _under_regex(each: Location, region: Region) -> list[Rule]:
    """A regular expression with what is nested in it."""
    rules: list[Rule] = []
    behind: list[Rule] = []
    for inner in each.nested:
        if inner.nested or inner.kind is Kind.REGEX:
            raise NestedPatternsError(inner)
        if inner.kind is Kind.EXACT:
            if re2.search(each.text, inner.text) and region.has(inner.text):
                rules.append(Rule(inner, region, exact=inner.text))
        else:
            longer = [
                other.text
                for other in each.nested
                if len(other.text) > len(inner.text)
                and other.kind in (Kind.PREFIX, Kind.FINAL)
                and other.text.startswith(inner.text)
            ]
            behind.append(Rule(inner, region.part(inner.text, longer), regex=each.text))
    return [*rules, *behind, Rule(each, region, regex=each.text)]


def whole(regex: str) -> str:
    """A regular expression that is searched for, as one of the whole path; groups keep their numbers."""
    return f"(?s:.*?(?:{regex}).*)"


def runs(regex: str) -> str:
    """Why RE2 can't run an expression; empty if it can."""
    if len(regex) > LONGEST_REGEX:
        return f"longer than {LONGEST_REGEX} characters"
    options = re2.Options()
    options.log_errors = False
    try:
        re2.compile(regex, options)
    except re2.error as error:
        text = error.args[0] if error.args else error
        return f"RE2 can't run it: {text.decode() if isinstance(text, bytes) else text}"
    return ""
