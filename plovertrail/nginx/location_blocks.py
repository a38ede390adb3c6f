"""Location blocks as locations: their modifiers, paths and expressions, without what nginx refuses."""

from __future__ import annotations

import re

from plovertrail.decisions.paths import InvalidTargetError, normalise_path
from plovertrail.nginx.context import UnmappableServerError
from plovertrail.nginx.locations import Kind, Location, runs, whole
from plovertrail.nginx.report import Report
from plovertrail.nginx.scope import Scope
from plovertrail.nginx.tree import Directive

MODIFIER_WITHOUT_SPACE = re.compile(r"(=|\^~|~\*|~)(.+)", re.S)
PATH_KINDS = {"=": Kind.EXACT, "^~": Kind.FINAL, "": Kind.PREFIX}


def read_locations(scope: Scope, report: Report, outer: Location | None = None) -> list[Location]:
    """The locations of one level, with those nested in them, without what nginx refuses.

    Raises UnmappableServerError where it isn't known which requests a location takes.
    """
    found: list[Location] = []
    for block in scope.own("location"):
        made = _read_location(block, scope, report)
        if made is None:
            continue
        same = next((each for each in found if _is_same(each, made)), None)
        if same is not None:
            report.not_mapped_block(block, f"nginx refuses it: {same.directive.place} is the same location")
        elif outer is not None and _is_outside(made, outer):
            report.not_mapped_block(block, f"nginx refuses it: it is not within {outer.directive.place}")
        else:
            found.append(made)
    return found


def _is_same(first: Location, second: Location) -> bool:
    """Whether nginx takes two locations of one level for the same."""
    return (
        first.kind is not Kind.REGEX
        and second.kind is not Kind.REGEX
        and first.text == second.text
        and (first.kind is Kind.EXACT) == (second.kind is Kind.EXACT)
    )


def _is_outside(inner: Location, outer: Location) -> bool:
    """Whether a nested location may not be where it is."""
    if outer.kind is Kind.EXACT:
        return True
    return (
        outer.kind is not Kind.REGEX
        and inner.kind is not Kind.REGEX
        and not inner.text.startswith(outer.text)
    )


def _read_location(block: Directive, outer: Scope, report: Report) -> Location | None:
    """One block and what is nested in it; None if no request comes to it."""
    scope = Scope(block.block or [], outer, location=True)
    modifier, text = _modifier_and_text(block.args)
    if text.startswith("@") and not modifier:
        report.not_mapped_block(
            block, "a named location: what leads to it (error_page, try_files) isn't imported"
        )
        return None
    if modifier in ("~", "~*"):
        regex = text if modifier == "~" else f"(?i){text}"
        if wrong := runs(whole(regex)):
            raise UnmappableServerError(block, f"{wrong}, so which requests it takes isn't known")
        made = Location(Kind.REGEX, regex, block, scope)
    else:
        kind = PATH_KINDS.get(modifier)
        path = seen_path(text)
        if kind is None or path is None:
            report.not_mapped_block(block, "no request comes to such a location here: it is left out")
            return None
        made = Location(kind, path, block, scope)
    made.redirects = (
        made.kind in (Kind.PREFIX, Kind.FINAL)
        and bool(scope.own("proxy_pass"))
        and len(made.text) > 1
        and made.text.endswith("/")
    )
    made.nested = read_locations(scope, report, made)
    return made


def _modifier_and_text(args: tuple[str, ...]) -> tuple[str, str]:
    """The parts of a location's head; the modifier may stand without a space."""
    if len(args) == 2:
        return args[0], args[1]
    text = args[0] if args else ""
    found = MODIFIER_WITHOUT_SPACE.match(text) if len(args) == 1 else None
    return (found[1], found[2]) if found else ("", text)


def seen_path(text: str) -> str | None:
    """A location's text as paths are matched against it; None if none is like it."""
    if not text.startswith("/"):
        return None
    try:
        # nginx compares with decoded paths, so a location is written decoded
        seen = normalise_path(text.replace("%", "%25").encode())[1]
    except InvalidTargetError:
        return None
    if text.endswith("/") and not seen.endswith("/"):
        seen += "/"
    return seen if "//" not in text and "/../" not in text else None
