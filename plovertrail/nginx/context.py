"""What the parts of one import share: the report, the routes written so far, and what http blocks declare."""

from __future__ import annotations

from dataclasses import dataclass, field

from plovertrail.nginx.limits import Limits
from plovertrail.nginx.report import Report
from plovertrail.nginx.routes import RouteWriter
from plovertrail.nginx.scope import Scope
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.upstreams import Group
from plovertrail.nginx.variables import VARIABLE


class UnmappableServerError(Exception):
    """A directive for which a whole server can't be carried over."""

    def __init__(self, by: Directive, why: str) -> None:
        super().__init__(why)
        self.by = by
        self.why = why


@dataclass
class ImportContext:
    """The state of one import."""

    report: Report = field(default_factory=Report)
    routes: RouteWriter = field(default_factory=RouteWriter)
    groups: dict[str, Group] = field(default_factory=dict)  # upstreams, by their name in nginx
    constants: dict[str, str] = field(default_factory=dict)  # variables with one value, of maps
    # variables that say whether a client asks for another protocol
    upgrade_variables: set[str] = field(default_factory=set)
    max_bodies_bytes: list[int] = field(default_factory=list)  # of the locations that pass requests on
    limits: Limits = field(init=False)

    def __post_init__(self) -> None:
        self.limits = Limits(self.report)

    def fill_constants(self, text: str, scope: Scope) -> str:
        """A text with the values of the variables that are constant in a scope."""
        known = self.constants | scope.constants()
        return VARIABLE.sub(lambda found: known.get(found[1] or found[2], found[0]), text)
