"""What instances tell one another of servers: evidence in windows, never verdicts; an opinion comes of it.

Each instance counts how its attempts end, by server and class, in a window that fades. It tells that of
servers that somebody finds wrong. What others tell is joined by the later one of each teller, so order,
repeats and ways make no difference; it fades by the hearer's own clock. An opinion is how much worse a server
is than all servers together are, as far as two tellers or more have seen it; it is held within the bounds
below, whatever is told. Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Set
from dataclasses import dataclass, field

HALF_LIFE_US = 8_000_000  # of evidence: a server that is well again is used again within some of these
# of attempts that went well: hazard: of a server that goes bad the many that were well a moment ago would
# hide the first that fail, which is when hearing of it is worth most
GOOD_HALF_LIFE_US = 2_000_000
OLDEST_US = 30_000_000  # a wrong opinion lasts no longer than this after the last wrong word
MOST_HELD_BACK = 1 / 3  # of the servers, for one class, the worst: the rest is used however bad the news
CAP = 4.0  # attempts that one teller counts for at most, of one server and class
ZONE_CAP = 24.0  # and all tellers of one zone but our own
OTHER_ZONE = 0.3  # what they count for: what cuts their zone off need not cut off ours
OWN_WEIGHT = 3.0  # what our own attempts count for beside another's
OWN_CAP = 16.0
PRIOR = 2.0  # attempts that went well, as if somebody had seen them: a single fault is no opinion
TELLERS = 2  # who have to find it wrong: what one alone can't reach may be its own trouble
STALE_GOOD = 0.1  # what an attempt counts for that went well before TELLERS had found the server wrong
OTHER_CLASS = 0.25  # what evidence on other classes of the server counts for
FLOOR = 0.15  # worse than all servers by less than this is chance
UNWELL_PART = 0.5  # of the servers that it tried, found wrong: it says nothing, as the trouble may be its own
UNWELL_FROM = 4  # servers
STEEPER = 1.5  # with this a server of which two thirds of all that counts went wrong is held back in full
WRONG = 0.3  # share of faults from which on a server counts as found wrong
LEAST = 0.05  # attempts: less is nothing
MOST_ROWS = 4_096  # of others' evidence that are kept, those heard last
MOST_OWN = 4_096
PASSED_ON = 2.0  # times log2 of the size: how often another's evidence is told on
Key = tuple[int, int]  # a server, and a class, as all instances know them


@dataclass(slots=True)
class Window:
    """Attempts that fade, by how they ended."""

    at_us: int
    good: float = 0.0
    faults: float = 0.0  # failed at once, or spoilt
    silent: float = 0.0  # no answer in time
    full: float = 0.0  # turned away
    good_us: int = 0  # when one last went well

    def fade(self, now_us: int) -> None:
        """Let what was seen count less as it ages, by the half-lives."""
        age_us = max(0, now_us - self.at_us)
        left = math.exp2(-age_us / HALF_LIFE_US)
        self.good *= math.exp2(-age_us / GOOD_HALF_LIFE_US)
        self.faults, self.silent, self.full = self.faults * left, self.silent * left, self.full * left
        self.at_us = max(self.at_us, now_us)

    @property
    def wrong(self) -> float:
        """Attempts that came to nothing."""
        return self.faults + self.silent + self.full

    @property
    def attempts(self) -> float:
        """Attempts seen, each by what it still counts."""
        return self.good + self.wrong


@dataclass(frozen=True, slots=True)
class Evidence:
    """What one instance has seen of one server and class, as it was `age_us` before it came here."""

    teller: int  # as all instances know it
    sequence: int  # the later one of a teller counts; grows over its restarts
    key: Key
    attempts: float
    faults: float
    silent: float
    full: float
    age_us: int
    good_age_us: int = 0  # how long before that the last attempt that went well had ended

    @property
    def sound(self) -> bool:
        """Whether it makes sense."""
        parts = self.faults, self.silent, self.full
        return (
            self.attempts >= 0.0
            and all(part >= 0.0 for part in parts)
            and math.isfinite(self.attempts)
            and sum(parts) <= self.attempts + 0.1
            and 0 <= self.age_us <= OLDEST_US
            and self.good_age_us >= 0
        )


@dataclass(slots=True)
class Heard:
    """One teller's evidence, as it is kept here."""

    evidence: Evidence
    began_us: int  # by our clock, when it was so: its age has been taken off
    wrong_since_us: int | None = None  # since when the teller finds it wrong, as far as we heard it
    told_on: int = 0

    def counts(self, now_us: int) -> tuple[float, float]:
        """Attempts that went well, and that came to nothing, as they count by now."""
        age_us, wrong = max(0, now_us - self.began_us), wrong_of(self.evidence)
        good = max(0.0, self.evidence.attempts - wrong)
        return good * math.exp2(-age_us / GOOD_HALF_LIFE_US), wrong * math.exp2(-age_us / HALF_LIFE_US)


@dataclass(frozen=True, slots=True)
class Opinion:
    """What comes of all evidence on one server and class, with what it comes of."""

    held_back: float  # 0: as any other; 1: all that is known went wrong, and nothing elsewhere does
    tellers: int  # others that found it wrong
    others: tuple[float, float]  # attempts and those that came to nothing, as they count
    own: tuple[float, float]
    everywhere: float  # the share that comes to nothing at all servers together


def worst_share(liars: int, honest: int, attempts_each: float) -> float:
    """The most that so many liars, who all call one server bad, can make a server's share of faults that is
    well, where so many honest ones have tried it so often each: the bound of what they do is
    `held_back(worst_share(...), 0.0)`. Stated for tellers of one zone with none of our own attempts."""
    lies = liars * CAP
    return lies / (lies + honest * min(CAP, attempts_each) + PRIOR)


def held_back(share: float, everywhere: float) -> float:
    """How much a share of faults holds a server back, beside that of all servers."""
    floor = min(1.0, everywhere + FLOOR)
    return min(1.0, max(0.0, STEEPER * (share - floor) / (1.0 - floor))) if floor < 1.0 else 0.0


class Judgements:
    """The evidence of one instance, its own and what it hears. `me` and `zone` as others know it."""

    def __init__(self, me: int, now_us: int, sequence: int = 0) -> None:
        self.me = me
        self.sequence = sequence
        self.own: dict[Key, Window] = {}
        self.heard: dict[Key, dict[int, Heard]] = {}
        self.rows = 0  # of `heard`
        self.kinds: dict[int, set[int]] = {}  # of `heard`: the classes of each server
        self.order: dict[tuple[Key, int], None] = {}  # of `heard`, those that came last at the end
        self.zones: dict[int, str] = {}  # of tellers, as far as they are known
        self.unwell: set[int] = set()  # tellers that doubt themselves: what they tell counts for nothing
        self.zone = ""
        self.silent_until_us = now_us  # it says nothing of its own till then
        self.news = False  # something was found wrong that was not before, here or there
        self.dropped = 0  # evidence that made no sense or found no place

    # Evidence

    def ended(
        self, key: Key, now_us: int, *, fault: bool = False, silent: bool = False, full: bool = False
    ) -> None:
        """An attempt of ours has ended. What the client gave up or could not be sent is none."""
        window = self.own.get(key)
        if window is None:
            if len(self.own) >= MOST_OWN:
                del self.own[next(iter(self.own))]
            window = Window(now_us)
        else:
            del self.own[key]  # those used last stand at the end
        self.own[key] = window
        window.fade(now_us)
        before = window.wrong
        window.faults += fault
        window.silent += silent
        window.full += full
        if fault or silent or full:
            window.good /= 2.0  # what was before it tells less of what comes
        else:
            window.good += 1.0
            window.good_us = now_us
        self.news |= before < 0.5 <= window.wrong

    def stood_still(self, now_us: int) -> None:
        """The process did nothing for a while: what ended badly then tells of itself."""
        self.own.clear()
        self.silent_until_us = now_us + HALF_LIFE_US

    def finds_all_bad(self, now_us: int) -> bool:
        """Whether so many servers are wrong for it that it suspects itself."""
        tried: dict[int, list[float]] = {}
        for (server, _), window in self.own.items():
            window.fade(now_us)
            if window.attempts >= LEAST:
                sums = tried.setdefault(server, [0.0, 0.0])
                sums[0] += window.attempts
                sums[1] += window.wrong
        bad = sum(wrong > WRONG * attempts for attempts, wrong in tried.values())
        return len(tried) >= UNWELL_FROM and bad > UNWELL_PART * len(tried)

    def take(self, evidence: Evidence, now_us: int) -> bool:
        """Join what another has told; whether it is news."""
        if evidence.teller == self.me:
            return False
        if not evidence.sound:
            self.dropped += 1
            return False
        by_teller = self.heard.setdefault(evidence.key, {})
        old = by_teller.get(evidence.teller)
        place = evidence.key, evidence.teller
        if old is not None:
            if evidence.sequence <= old.evidence.sequence:
                return False
            del self.order[place]
        else:
            self.rows += 1
        self.news |= wrong_of(evidence) >= 0.5 and (old is None or wrong_of(old.evidence) < 0.5)
        began_us = now_us - evidence.age_us
        since_us = began_us if finds_wrong(evidence) else None
        if since_us is not None and old is not None and old.wrong_since_us is not None:
            # hazard: one that lies anew each moment would make all that others saw go well old news
            since_us = min(since_us, old.wrong_since_us)
        by_teller[evidence.teller] = Heard(evidence, began_us, since_us)
        self.kinds.setdefault(evidence.key[0], set()).add(evidence.key[1])
        self.order[place] = None
        while self.rows > MOST_ROWS:
            self._forget(*next(iter(self.order)))
            self.dropped += 1
        return True

    def _forget(self, key: Key, teller: int) -> None:
        del self.order[key, teller]
        del self.heard[key][teller]
        self.rows -= 1
        if not self.heard[key]:
            del self.heard[key]
            self.kinds[key[0]].discard(key[1])
            if not self.kinds[key[0]]:
                del self.kinds[key[0]]

    def sweep(self, now_us: int) -> None:
        """Forget what has faded, of some each time."""
        for key, teller in list(self.order)[:256]:
            if now_us - self.heard[key][teller].began_us > OLDEST_US:
                self._forget(key, teller)
        for key in list(self.own)[:256]:
            self.own[key].fade(now_us)
            if self.own[key].attempts < LEAST:
                del self.own[key]

    # What is told

    def accused(self, now_us: int) -> set[Key]:
        """Servers and classes that somebody finds wrong, we or another."""
        found = {
            key
            for key, by_teller in self.heard.items()
            if any(heard.counts(now_us)[1] >= 0.5 for heard in by_teller.values())
        }
        for key, window in self.own.items():
            window.fade(now_us)
            if window.wrong >= 0.5:
                found.add(key)
        return found

    def tell(self, most: int, size: int, doubts_itself: bool, now_us: int) -> list[Evidence]:
        """What goes out with a datagram, at most so many: our own of what is accused, the worst first, then
        others', those told on least. One that doubts itself tells nothing of its own."""
        found: list[Evidence] = []
        quiet = doubts_itself or now_us < self.silent_until_us or self.finds_all_bad(now_us)
        if not quiet:
            self.sequence += 1
            mine = [
                (key, self.own[key])
                for key in self.accused(now_us)
                if key in self.own and self.own[key].attempts >= LEAST
            ]
            mine.sort(key=lambda pair: -pair[1].wrong)
            found = [
                Evidence(
                    self.me,
                    self.sequence,
                    key,
                    window.attempts,
                    window.faults,
                    window.silent,
                    window.full,
                    0,
                    max(0, now_us - window.good_us),
                )
                for key, window in mine[: max(1, most * 2 // 3)]
            ]
        often = PASSED_ON * math.log2(size + 1)
        fresh = [
            self.heard[key][teller]
            for key, teller in reversed(self.order)
            if self.heard[key][teller].told_on < often
        ]
        for heard in sorted(fresh[: 4 * most], key=lambda one: one.told_on)[: most - len(found)]:
            age_us = now_us - heard.began_us
            if age_us <= OLDEST_US:
                heard.told_on += 1
                old = heard.evidence
                found.append(
                    Evidence(
                        old.teller,
                        old.sequence,
                        old.key,
                        old.attempts,
                        old.faults,
                        old.silent,
                        old.full,
                        age_us,
                        old.good_age_us,
                    )
                )
        return found

    # What comes of it

    def everywhere(self, class_number: int, now_us: int) -> float:
        """The share of our own attempts of a class that comes to nothing, the worst third of the servers left
        out: what strikes all servers alike is no server's fault."""
        shares = []
        for (_, number), window in self.own.items():
            if number == class_number:
                window.fade(now_us)
                if window.attempts >= LEAST:
                    shares.append((window.wrong / window.attempts, window.attempts, window.wrong))
        shares.sort()
        kept = shares[: math.ceil(len(shares) * (1.0 - MOST_HELD_BACK))]
        attempts = sum(share[1] for share in kept)
        return sum(share[2] for share in kept) / (attempts + PRIOR) if kept else 0.0

    def opinion(self, key: Key, now_us: int, everywhere: float) -> Opinion:
        """What all that is known of a server and class comes to."""
        server, kind = key
        kinds = self.kinds.get(server, set()) | {kind}
        turned_us = self.turned_us(server, kinds, now_us)
        by_zone: dict[str, list[float]] = {}
        tellers: set[int] = set()
        for each in kinds:
            weight = 1.0 if each == kind else OTHER_CLASS
            for teller, heard in self._valid((server, each), now_us):
                good, wrong = heard.counts(now_us)
                if heard.began_us - heard.evidence.good_age_us < turned_us:
                    good *= STALE_GOOD
                if good + wrong < LEAST:
                    continue
                scale = weight * min(1.0, CAP / (good + wrong))
                sums = by_zone.setdefault(self.zones.get(teller, ""), [0.0, 0.0])
                sums[0] += (good + wrong) * scale
                sums[1] += wrong * scale
                if heard.wrong_since_us is not None and wrong > WRONG * (good + wrong):
                    tellers.add(teller)
        attempts = failed = 0.0
        for zone, (some, bad) in by_zone.items():
            scale = min(1.0, ZONE_CAP / some) * (1.0 if zone == self.zone else OTHER_ZONE)
            attempts, failed = attempts + some * scale, failed + bad * scale
        own = self.own.get(key)
        mine = (0.0, 0.0)
        if own is not None:
            own.fade(now_us)
            good = own.good * (STALE_GOOD if own.good_us < turned_us else 1.0)
            scale = OWN_WEIGHT * min(1.0, OWN_CAP / max(good + own.wrong, LEAST))
            mine = (good + own.wrong) * scale, own.wrong * scale
        enough = len(tellers) >= TELLERS or (tellers and own is not None and own.wrong >= 0.5)
        share = (failed + mine[1]) / (attempts + mine[0] + PRIOR)
        found = held_back(share, everywhere) if enough else 0.0
        return Opinion(found, len(tellers), (attempts, failed), mine, everywhere)

    def _valid(self, key: Key, now_us: int) -> list[tuple[int, Heard]]:
        """What counts of what is heard of a server and class."""
        return [
            (teller, heard)
            for teller, heard in self.heard.get(key, {}).items()
            if teller not in self.unwell and now_us - heard.began_us <= OLDEST_US
        ]

    def turned_us(self, server: int, kinds: Set[int], now_us: int) -> float:
        """When TELLERS, we among them, had found a server wrong: what went well before that is old news, by
        everybody's clock. Minus infinity: they have not."""
        since: dict[int, int] = {}
        for kind in kinds:
            for teller, heard in self._valid((server, kind), now_us):
                if heard.wrong_since_us is not None:
                    since[teller] = min(heard.wrong_since_us, since.get(teller, heard.wrong_since_us))
            own = self.own.get((server, kind))
            if own is not None and own.wrong >= 0.5:
                since[self.me] = min(own.at_us, since.get(self.me, own.at_us))
        times = sorted(since.values())
        return times[TELLERS - 1] if len(times) >= TELLERS else -math.inf

    def opinions(self, servers: Set[int], now_us: int) -> dict[Key, Opinion]:
        """Of all that is heard of these servers, held back or not: of one class at most a third of them."""
        found: dict[Key, Opinion] = {}
        by_class: dict[int, list[tuple[float, Key]]] = {}
        shares: dict[int, float] = {}
        kinds = {key[1] for key in (*self.heard, *self.own)}
        for key in [(server, kind) for server in self.kinds.keys() & servers for kind in kinds]:
            if key[1] not in shares:
                shares[key[1]] = self.everywhere(key[1], now_us)
            opinion = found[key] = self.opinion(key, now_us, shares[key[1]])
            if opinion.held_back:
                by_class.setdefault(key[1], []).append((opinion.held_back, key))
        for held in by_class.values():
            for _, key in sorted(held, reverse=True)[int(MOST_HELD_BACK * len(servers)) :]:
                old = found[key]
                found[key] = Opinion(0.0, old.tellers, old.others, old.own, old.everywhere)
        return found


def finds_wrong(evidence: Evidence) -> bool:
    """Whether its teller finds the server wrong for the class."""
    return wrong_of(evidence) >= 0.5


def wrong_of(evidence: Evidence) -> float:
    """Attempts that came to nothing."""
    return evidence.faults + evidence.silent + evidence.full


@dataclass(slots=True)
class Known:
    """What a pool's servers and classes are called among instances, and by its module."""

    servers: Mapping[int, int]  # by number here
    classes: tuple[int, ...]  # by index here
    numbers: dict[int, int] = field(default_factory=dict)  # the other way

    def __post_init__(self) -> None:
        self.numbers = {common: number for number, common in self.servers.items()}


def hearsay(opinions: Mapping[Key, Opinion], known: Known) -> dict[tuple[int, int], float]:
    """What a pool's module is told: by its numbers of servers and classes, how much each is held back."""
    found = {}
    for (server, kind), opinion in opinions.items():
        number = known.numbers.get(server)
        if number is not None and opinion.held_back and kind in known.classes:
            found[number, known.classes.index(kind)] = opinion.held_back
    return found
