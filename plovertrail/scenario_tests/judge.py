"""What broke in a played scenario: the rules that hold always, and what its file expects. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from plovertrail.config.setup import Setup
from plovertrail.decisions.routes import Head, Miss, path_matches, predicate_miss
from plovertrail.decisions.settings import RequestClass
from plovertrail.scenario_tests.daemon import Asked, Sending
from plovertrail.scenario_tests.play import Played
from plovertrail.scenario_tests.schema import Expectation
from plovertrail.scenario_tests.servers import NEVER_RAN

REFUSALS = (429, 503)
COLD_SLACK = 3  # requests beyond a cold server's bound: a window's count is a matter of chance
NEVER_RAN_ENDS = frozenset(each.value for each in NEVER_RAN)


@dataclass(frozen=True, slots=True)
class Broken:
    """One thing that should not have happened."""

    place: str  # of the expectation, or the rule's name
    text: str
    asked: Asked | None = None


def known_not_run(sending: Sending, at_us: int) -> bool:
    """Whether it was known at a time that an attempt has not run."""
    return sending.ended in NEVER_RAN_ENDS and sending.over_us <= at_us


def rules(played: Played) -> Iterator[Broken]:
    """The four rules, which every scenario is held to."""
    kinds = {kind.name: kind for kind in played.setup.classes}
    for asked in played.asked:
        yield from _one_answer(asked)
        if asked.kind in kinds:
            yield from _one_effect(asked, kinds[asked.kind])
    yield from _drains(played)
    yield from _cold(played)
    if played.open_left:
        yield Broken("rule 1", f"{played.open_left} requests are still held when all is over")


def _one_answer(asked: Asked) -> Iterator[Broken]:
    if len(asked.answers) > 1:
        yield Broken("rule 1", f"{len(asked.answers)} answers", asked)
    if not asked.answers and not asked.left_us:
        yield Broken("rule 1", "no answer", asked)
    over_us = min(
        [at_us for at_us, _ in asked.answers[:1]] + ([asked.left_us] if asked.left_us else []), default=0
    )
    if asked.answers and asked.deadline_us and over_us > asked.at_us + asked.deadline_us:
        yield Broken(
            "rule 1",
            f"answered after {(over_us - asked.at_us) / 1000:.3f} ms, and the client waits "
            f"for {asked.deadline_us / 1000:g}",
            asked,
        )
    for sending in asked.attempts:
        if over_us and sending.at_us > over_us:
            yield Broken("rule 1", f"sent to {sending.pool}/{sending.server} after it was over", asked)


def _one_effect(asked: Asked, kind: RequestClass) -> Iterator[Broken]:
    """Rule 2, from what the servers know: whether an earlier attempt may have run."""
    if kind.effect == "idempotent":
        return
    for number, sending in enumerate(asked.attempts):
        before = [each for each in asked.attempts[:number] if not known_not_run(each, sending.at_us)]
        if not before:
            continue
        if kind.effect == "at_most_once":
            yield Broken(
                "rule 2",
                f"sent to {sending.pool}/{sending.server}, and "
                f"{before[0].pool}/{before[0].server} may have run it",
                asked,
            )
        elif not same_group(kind, before[0], sending) or sending.pool != before[0].pool:
            yield Broken(
                "rule 2",
                f"its key went to {before[0].pool}/{before[0].server}, and then to "
                f"{sending.pool}/{sending.server}, which doesn't drop the repeat",
                asked,
            )
        elif sending.at_us - before[0].at_us >= kind.dedup_window_us:
            yield Broken("rule 2", "repeated when its key was forgotten", asked)
    harmless = kind.effect == "deduplicated" and kind.dedup_scope == "all"
    if asked.status in REFUSALS and not harmless:
        at_us = asked.answers[0][0]
        if any(not known_not_run(each, at_us) for each in asked.attempts):
            yield Broken("rule 2", f"refused with {asked.status}, and it may have run", asked)


def same_group(kind: RequestClass, one: Sending, other: Sending) -> bool:
    """Whether a server drops the repeat of what another one has had."""
    if kind.dedup_scope == "zone":
        return one.zone == other.zone
    return kind.dedup_scope != "cell" or one.cell == other.cell


def _drains(played: Played) -> Iterator[Broken]:
    """Rule 3: here at once, as word comes to the host itself."""
    shut: dict[tuple[str, str], list[tuple[int, int]]] = {}
    for moved in played.moved:
        spans = shut.setdefault((moved.pool, moved.server), [])
        if moved.move in ("drain", "gone"):
            spans.append((moved.at_us, 1 << 62))
        elif spans:
            spans[-1] = spans[-1][0], moved.at_us
    for asked in played.asked:
        for sending in asked.attempts:
            for since_us, until_us in shut.get((sending.pool, sending.server), ()):
                if since_us < sending.at_us < until_us:
                    yield Broken(
                        "rule 3",
                        f"sent to {sending.pool}/{sending.server} "
                        f"{(sending.at_us - since_us) / 1000:.3f} ms after it drains or has "
                        "gone",
                        asked,
                    )


def _cold(played: Played) -> Iterator[Broken]:
    """Rule 4, by what the warm ones had in the same time: they have what they can do, or less."""
    joined = [moved for moved in played.moved if moved.move == "join"]
    for moved in joined:
        settings = played.setup.pools[moved.pool].settings
        if not settings.warm_up_us or not settings.overload_duration_us:
            continue
        here = [sending for asked in played.asked for sending in asked.attempts if sending.pool == moved.pool]
        others = {sending.server for sending in here} - {each.server for each in joined}
        if not others:
            continue
        for start_us in range(
            moved.at_us, moved.at_us + settings.warm_up_us, settings.overload_duration_us // 2 or 1
        ):
            inside = Counter(
                sending.server
                for sending in here
                if start_us <= sending.at_us < start_us + settings.overload_duration_us
            )
            warmth = settings.warm_up_initial_capacity + (1 - settings.warm_up_initial_capacity) * min(
                1.0, (start_us + settings.overload_duration_us - moved.at_us) / settings.warm_up_us
            )
            usual = sum(inside[name] for name in others) / len(others)
            if inside[moved.server] > settings.overload_factor * warmth * usual + COLD_SLACK:
                yield Broken(
                    "rule 4",
                    f"{moved.pool}/{moved.server}, {(start_us - moved.at_us) / 1e6:g} s after its "
                    f"start, had {inside[moved.server]} requests in "
                    f"{settings.overload_duration_us / 1e6:g} s; the warm ones {usual:.1f}",
                )
                break


# What a file expects


def expected(played: Played, wanted: Expectation, matched: Counter[str]) -> Iterator[Broken]:
    """What broke of one expectation; `matched` counts what it was held to."""
    since_us = played.zero_us + wanted.since_us
    until_us = played.zero_us + wanted.until_us if wanted.until_us else 1 << 62
    asked = [
        each
        for each in played.asked
        if (not wanted.of or each.group == wanted.of)
        and (not wanted.route or each.route == wanted.route)
        and (not wanted.kind or each.kind == wanted.kind)
    ]
    inside = [each for each in asked if since_us <= each.at_us < until_us]
    place = wanted.place

    def each(found: Iterable[Asked], says: Callable[[Asked], str]) -> Iterator[Broken]:
        for one in found:
            matched[place] += 1
            text = says(one)
            if text:
                yield Broken(place, text, one)

    if wanted.never_to or wanted.only_to:
        for one in asked:
            for sending in one.attempts:
                if since_us <= sending.at_us < until_us:
                    matched[place] += 1
                    name = f"{sending.pool}/{sending.server}"
                    if name in wanted.never_to:
                        yield Broken(place, f"sent to {name}", one)
                    if wanted.only_to and name not in wanted.only_to:
                        yield Broken(place, f"sent to {name}, which only_to doesn't name", one)
    if wanted.same:
        yield from each(
            [one for one in inside if len(one.attempts) > 1], lambda one: _parted(one, wanted.same)
        )
    if wanted.attempts is not None:
        least, most = wanted.attempts
        yield from each(
            inside,
            lambda one: (
                ""
                if least <= len(one.attempts) <= most
                else f"{len(one.attempts)} attempts, not {least} to {most}"
            ),
        )
    if wanted.status:
        yield from each(
            [one for one in inside if one.answers],
            lambda one: (
                ""
                if one.status in wanted.status
                else f"answered {one.status}, not {' or '.join(map(str, wanted.status))}"
            ),
        )
    if wanted.within_us:
        yield from each([one for one in inside if one.answers], lambda one: _late(one, wanted.within_us))
    if wanted.refused_within_us:
        refused = [one for one in inside if one.status in REFUSALS]
        yield from each(refused, lambda one: _late(one, wanted.refused_within_us))
    if wanted.retry_after:
        yield from each(
            [one for one in inside if one.status in REFUSALS],
            lambda one: "" if one.header("Retry-After") else "refused with no Retry-After",
        )
    for name, span, held in (
        ("served", wanted.served, lambda one: one.status == 200),
        ("refused", wanted.refused, lambda one: one.status in REFUSALS),
    ):
        answered = [one for one in inside if one.answers]
        if span is not None and answered:
            matched[place] += len(answered)
            part = 100 * sum(map(held, answered)) / len(answered)
            if not span[0] <= part <= span[1]:
                odd = next((one for one in answered if held(one) == (part > span[1])), None)
                yield Broken(place, f"{part:.1f} % {name}, not {span[0]:g} to {span[1]:g}", odd)
    sent = Counter(
        f"{sending.pool}/{sending.server}"
        for one in asked
        for sending in one.attempts
        if since_us <= sending.at_us < until_us
    )
    for name, lowest, highest in wanted.share if sent else ():
        matched[place] += sum(sent.values())
        part = 100 * sent[name] / sum(sent.values())
        if not lowest <= part <= highest:
            yield Broken(place, f"{name} had {part:.1f} % of the attempts, not {lowest:g} to {highest:g}")
    for name, most, within_us in wanted.at_most if sent else ():
        times = sorted(
            sending.at_us
            for one in asked
            for sending in one.attempts
            if f"{sending.pool}/{sending.server}" == name and since_us <= sending.at_us < until_us
        )
        matched[place] += len(times)
        worst = _crowded(times, most, within_us)
        if worst:
            yield Broken(place, f"{name} had {worst} attempts in {within_us / 1000:g} ms, not {most} at most")


def _crowded(times: list[int], most: int, within_us: int) -> int:
    """The most that came in any so long, if more than allowed; else 0."""
    first = worst = 0
    for last, at_us in enumerate(times):
        while times[first] <= at_us - within_us:
            first += 1
        worst = max(worst, last - first + 1)
    return worst if worst > most else 0


def _late(one: Asked, within_us: int) -> str:
    took_us = one.answers[0][0] - one.at_us
    return "" if took_us <= within_us else f"answered after {took_us / 1000:.3f} ms"


def _parted(one: Asked, same: str) -> str:
    """Where a request's attempts were not of one server, cell or zone."""
    met = {getattr(sending, same) for sending in one.attempts}
    return "" if len(met) == 1 else f"its attempts were at more than one {same}: {', '.join(sorted(met))}"


def trace(played: Played, asked: Asked | None, most: int = 14) -> list[str]:
    """What led to it: the scenario's events, and all that came of one request."""
    lines = [(at_us, f"event    {text}") for at_us, text in played.told]
    if asked is not None:
        lines = [line for line in lines if line[0] <= asked.at_us + max(asked.deadline_us, 1_000_000)][-5:]
        route = f"route {asked.route}, class {asked.kind}" if asked.route else "no route to a server"
        lines.append((asked.at_us, f"request  {asked.text} ({route})"))
        for sending in asked.attempts:
            lines.append(
                (
                    sending.at_us,
                    f"sent     to {sending.pool}/{sending.server}, which does: "
                    f"{sending.behaviour.does.value}",
                )
            )
            if sending.over_us:
                lines.append(
                    (sending.over_us, f"ended    at {sending.pool}/{sending.server}: {sending.ended}")
                )
        lines += [
            (at_us, f"answer   {data.partition(b'%c' % 13)[0].decode('latin-1')}")
            for at_us, data in asked.answers
        ]
        if asked.left_us:
            lines.append((asked.left_us, "client   has gone"))
    lines.sort(key=lambda line: line[0])
    return [f"{played.time(at_us):>14}  {text}" for at_us, text in lines[:most]]


@dataclass
class Coverage:
    """What no expectation and no scenario touched."""

    routes: set[str] = field(default_factory=set)
    pools: set[str] = field(default_factory=set)
    classes: set[str] = field(default_factory=set)
    refusing: set[str] = field(default_factory=set)  # limits, doors and hooks that had something to say
    missed: set[tuple[str, str]] = field(
        default_factory=set
    )  # routes and predicates that turned a request away

    def saw(self, played: Played) -> None:
        """Count what one played scenario has reached."""
        for asked in played.asked:
            self.routes.add(asked.route)
            self.classes.add(asked.kind)
            self.pools.update(sending.pool for sending in asked.attempts)
        self.refusing |= played.refusing

    def asked(self, setup: Setup, head: Head) -> None:
        """A request's head: the predicates that it doesn't meet were touched."""
        for route in setup.routes.routes:
            if not (route.headers or route.query) or not path_matches(route, head.path):
                continue
            miss = predicate_miss(route, head)
            if miss in (Miss.HEADER, Miss.QUERY):
                self.missed.add((route.name, miss.name.lower()))

    def missing(self, setup: Setup) -> list[str]:
        """In words."""
        routes = setup.routes.routes
        found = [f"route {route.name}" for route in routes if route.name not in self.routes]
        found += [f"pool {name}" for name in setup.pools if name not in self.pools]
        touched = {route.class_name for route in routes if route.name in self.routes}
        found += [f"class {kind.name}" for kind in setup.classes if kind.name not in self.classes | touched]
        for route in routes:
            for kind, given in (("header", route.headers), ("query", route.query)):
                if given and (route.name, kind) not in self.missed:
                    found.append(f"the {kind} predicates of route {route.name}: no request failed them")
        guards = [f"limiter {name}" for name in setup.limiters]
        guards += [f"door of pool {name}" for name, pool in setup.pools.items() if pool.door is not None]
        guards += [f"hook {name}" for name in setup.hooks]
        return found + [f"{name}: it let all pass" for name in guards if name not in self.refusing]
