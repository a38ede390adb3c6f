"""Runs a file of expectations against a setup: what broke, with its trace, and what was never touched."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from plovertrail.config.setup import Setup
from plovertrail.decisions.requests import preview_request
from plovertrail.scenario_tests.judge import Broken, Coverage, expected, rules, trace
from plovertrail.scenario_tests.play import Played, arrivals, play
from plovertrail.scenario_tests.schema import Expectations, OneRequest, Scenario

SHRINK_PLAYS = 40


@dataclass(slots=True)
class Result:
    """Of one request or scenario."""

    name: str
    place: str
    failures: list[str] = field(default_factory=list)  # each with its trace


@dataclass
class Report:
    """The results of all tests, and the names of what no test has reached."""

    results: list[Result] = field(default_factory=list)
    untouched: list[str] = field(default_factory=list)

    @property
    def failed(self) -> list[Result]:
        """The results that have failures."""
        return [result for result in self.results if result.failures]


def run(setup: Setup, files: list[Expectations]) -> Report:
    """Hold a setup to all of them."""
    report, coverage = Report(), Coverage()
    for each in files:
        for one in each.requests:
            report.results.append(hold(setup, one, coverage))
        for scenario in each.scenarios:
            report.results.append(rehearse(setup, scenario, coverage))
    report.untouched = coverage.missing(setup)
    return report


def hold(setup: Setup, one: OneRequest, coverage: Coverage) -> Result:
    """One request, whatever the servers do: what the routes make of it."""
    result = Result(one.name, one.place)
    found = decided(setup, one, coverage)
    for key, wanted in one.wanted.items():
        got = found.get(key)
        if key == "sends":
            sent = found.get("sends")
            got = {name: sent.get(name.lower()) for name in wanted} if isinstance(sent, dict) else None
        if got != wanted:
            result.failures.append(f"{key} is {got!r}, not {wanted!r}; route {found.get('route') or 'none'}")
    return result


def decided(setup: Setup, one: OneRequest, coverage: Coverage) -> dict[str, object]:
    """What becomes of a request, in the words of its expectations."""
    asks = one.asks
    port = next(each.address[1] for each in setup.listeners if each.name == asks.listener)
    found = preview_request(
        setup.routes, asks.method, asks.host, asks.target, asks.headers, asks.listener, port, asks.address
    )
    if found.head is not None:
        coverage.asked(setup, found.head)
    if found.routed is None:
        return {"status": found.status, "route": ""}
    route = found.routed.route
    coverage.routes.add(route.name)
    if found.status:
        return {"status": found.status, "route": route.name, "location": found.location}
    coverage.pools.update(route.pools)
    coverage.classes.add(route.class_name)
    return {
        "route": route.name,
        "class": route.class_name,
        "pools": list(route.pools),
        "tenant": found.tenant,
        "target": found.routed.target.decode("latin-1"),
        "sends": found.forwarded_headers,
    }


def broken_of(played: Played, scenario: Scenario, matched: Counter[str]) -> list[Broken]:
    """All that broke in one play."""
    found = list(rules(played))
    for wanted in scenario.expect:
        found += expected(played, wanted, matched)
    return found


def rehearse(setup: Setup, scenario: Scenario, coverage: Coverage) -> Result:
    """One scenario over its seeds. The first seed that breaks something is told, shrunk."""
    result = Result(scenario.name, scenario.place)
    matched: Counter[str] = Counter()
    for seed in range(scenario.seeds):
        played = play(setup, scenario, seed)
        coverage.saw(played)
        found = broken_of(played, scenario, matched)
        if found:
            result.failures += told(setup, scenario, seed, found)
            return result
    for wanted in scenario.expect:
        if not matched[wanted.place]:
            result.failures.append(f"{wanted.place}: vacuous: nothing came that it could have failed on")
    return result


def told(setup: Setup, scenario: Scenario, seed: int, found: list[Broken]) -> list[str]:
    """What broke with a seed, each place once, with a trace of the fewest requests that still break it. What
    is counted over many requests is not made smaller: of fewer it would be another figure."""
    lines = []
    for place in dict.fromkeys(broken.place for broken in found):
        first = next(broken for broken in found if broken.place == place)
        kept = shrunk(setup, scenario, seed, place) if first.asked is not None else None
        played = play(setup, scenario, seed, kept)
        again = next((each for each in broken_of(played, scenario, Counter()) if each.place == place), first)
        few = f"shrunk to {len(kept)} requests, " if kept is not None else ""
        count = sum(each.place == place for each in found)
        said = f"{place}: {first.text} (seed {seed}, {few}{count} times in the whole play)"
        lines.append("\n".join([said, *trace(played, again.asked)]))
    return lines


def shrunk(setup: Setup, scenario: Scenario, seed: int, place: str) -> list[int] | None:
    """Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", IEEE TSE
    28, 2002): the numbers of few requests that still break a place, after so many plays at most."""

    def breaks(numbers: list[int]) -> bool:
        played = play(setup, scenario, seed, frozenset(numbers))
        return any(broken.place == place for broken in broken_of(played, scenario, Counter()))

    kept = [arrival.number for arrival in arrivals(scenario, seed)]
    parts, plays = 2, 0
    while len(kept) > 1 and plays < SHRINK_PLAYS:
        size = -(-len(kept) // parts)
        pieces = [kept[at : at + size] for at in range(0, len(kept), size)]
        for number in range(len(pieces)):
            # one piece alone, or all but one
            alone, rest = (
                pieces[number],
                [each for piece in pieces[:number] + pieces[number + 1 :] for each in piece],
            )
            plays += 2
            if breaks(alone):
                kept, parts = alone, 2
                break
            if len(pieces) > 2 and breaks(rest):
                kept, parts = rest, max(2, parts - 1)
                break
            if plays >= SHRINK_PLAYS:
                break
        else:
            if parts >= len(kept):
                break
            parts = min(len(kept), 2 * parts)
    return kept if breaks(kept) else None
