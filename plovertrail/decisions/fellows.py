"""Who else is there: instances that probe one another, with no leader and with bounded load at any size.

SWIM (Das, Gupta and Motivala, DSN 2002): each period one of the others is probed, at random but each once a
round; if it doesn't answer, some are asked to probe it; if nobody hears it, it is suspect, and silent if it
doesn't refute that in time. What is said of an instance is joined by the larger (incarnation, state), so
order, repeats and ways make no difference. Lifeguard (Dadgar, Phillips and Currey, DSN 2018): an instance
whose own probes fail doubts itself first, and gives others more time; a suspicion ends sooner the more hold
it.

One that hears nobody at all judges nobody: it can't tell whether the others are gone or it is. Pure: times
are arguments, in microseconds of the instance's own clock, and no time of another's is used.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

Address = tuple[str, int]
NOWHERE: Address = ("0.0.0.0", 0)
MOST_FELLOWS = 8_192  # in the table, whatever is told; the ones that are over go first
INDIRECT = 3  # others that are asked to probe one that didn't answer
SUSPICION = 4.0  # times log10 of the size (1 at least) periods, as in Lifeguard's section IV: the shortest
LONGEST_SUSPICION = 6.0  # times that: while only one suspects
CONFIRMED = 3  # others that hold a suspicion make it the shortest
MOST_DOUBT = 8  # of an instance in itself: its periods and waits are up to so many times longer, plus one
ANSWER_PART = 0.5  # of the period, within which a probe is answered; the rest is for indirect ones
SPREAD = 4.0  # a word goes out so many times log2 of the size: all but certain to reach all (SWIM, section 4)
FORGET_US = 120_000_000  # after so long silent or gone, one is no longer there
RECONNECT = 8  # every so many periods a silent one is probed, so that a split heals
JOINS_A_PERIOD = 200  # that one seed is asked by all who begin together: a fifth of what it looks at
ALONE = 3  # periods without a word from anybody: one is probed by others once in each, on average
MOST_WORDS_HELD = 1_024  # that still go out; more are told by the table in its turn
FURTHEST = 2**62  # an incarnation beyond this is made up


class State(enum.IntEnum):
    """What is said of an instance, the larger the stronger at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    SILENT = 2  # it didn't refute a suspicion in time
    GONE = 3  # it said that it leaves


@dataclass(frozen=True, slots=True)
class Word:
    """What is said of one instance."""

    name: str
    address: Address
    incarnation: int
    state: State
    zone: str = ""

    @property
    def rank(self) -> tuple[int, int]:
        """What decides between two records of one member: the higher incarnation, then the higher state."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Fellow:
    """What is known of one."""

    word: Word
    since_us: int  # when it came into this state, here
    heard_us: int = 0  # a datagram of its own last came; 0: never
    first_us: int = 0  # when it became suspect
    holders: set[str] = field(default_factory=set)  # who suspects it
    extended_us: int = 0  # its suspicion lasts longer by what this process stood still


class Kind(enum.IntEnum):
    """Of what goes to another."""

    PROBE = 1
    ACK = 2
    ASK = 3  # probe that one for me
    NACK = 4  # I did, and heard nothing
    JOIN = 5  # to a seed: I am new; answered as a probe is
    TELL = 6  # words and evidence alone


@dataclass(frozen=True, slots=True)
class Out:
    """One thing to send; the words beside it are chosen as it leaves."""

    kind: Kind
    address: Address
    number: int = 0  # of a probe, as its prober counts
    subject: str = ""  # ASK and NACK: whom
    to: str = ""  # the name there, if it is known
    subject_address: Address = NOWHERE


@dataclass(slots=True)
class Probe:
    """One that is under way."""

    name: str
    number: int
    begun_us: int
    asked: bool = False  # others were asked
    nacks: int = 0  # of them, that answered at all
    asked_of: int = 0


@dataclass(slots=True)
class Relayed:
    """A probe that is made for another."""

    asker: Address
    number: int  # as the asker counts
    subject: str
    until_us: int


def suspicion_us(size: int, period_us: int, holders: int) -> int:
    """For how long one may refute: less the more suspect it."""
    shortest = SUSPICION * max(1.0, math.log10(max(1, size))) * period_us
    longest = LONGEST_SUSPICION * shortest
    part = math.log(min(holders, CONFIRMED) + 1) / math.log(CONFIRMED + 1)
    return int(max(shortest, longest - (longest - shortest) * part))


def longest_detection_us(size: int, period_us: int, loss: float = 0.0, probability: float = 1e-3) -> int:
    """By when a dead one is silent at one that is well, but with this probability: a round in which each is
    probed once and a draw's bad luck (2 N - 1 periods, SWIM section 4.3, and one for each probe that the
    network answers by chance, none here), and the longest suspicion."""
    rounds = 2 * max(1, size - 1) - 1
    spread = SPREAD * math.log2(size + 1) / max(1e-9, 1.0 - loss) * (1 + math.log(1 / probability) / 20)
    return int((rounds + spread + 1) * period_us) + suspicion_us(size, period_us, 0)


def false_suspicion(loss: float, indirect: int = INDIRECT) -> float:
    """The probability that one probe of a live instance raises a suspicion, at this loss of datagrams: the
    direct way there and back, and each indirect one (four datagrams) fail (SWIM, section 3.1)."""
    direct = 1.0 - (1.0 - loss) ** 2
    way = 1.0 - (1.0 - loss) ** 4
    return direct * way**indirect


class Fellows:
    """What one instance knows of the others. `period_us`: it probes one in each; `seeds` are asked to let it
    in while it knows nobody; `expected` instances may begin at the same moment."""

    def __init__(
        self,
        me: Word,
        period_us: int,
        rng: random.Random,
        now_us: int,
        seeds: Sequence[Address] = (),
        expected: int = 1,
    ) -> None:
        self.me = me
        self.period_us = period_us
        self.rng = rng
        self.seeds = tuple(seeds)
        self.expected = expected
        self.join_us = now_us + int(self.join_span_us() * rng.random())  # when a seed is asked next
        self.table: dict[str, Fellow] = {}
        # by state, so that no period and no datagram costs a look at all of a large fleet
        self.there: dict[str, int] = {}  # alive or suspect: their places in `roll`
        self.roll: list[str] = []
        self.suspects: set[str] = set()
        self.over: set[str] = set()  # silent or gone
        self.order: list[str] = []  # to be probed in this round, the next one at the end
        self.doubt = 0
        self.probe: Probe | None = None
        self.numbers = 0
        self.periods = 0
        self.next_us = now_us + int(period_us * rng.random())  # when the next period begins
        self.relayed: dict[int, Relayed] = {}  # by our own number
        self.words: dict[str, int] = {}  # that go out, and how often they have
        self.heard_us = now_us  # when anybody was last heard
        self.twins: dict[str, Address] = {}  # another one goes by a name that is taken
        self.leaving = False
        # since the start
        self.suspected = 0  # by our own probes
        self.refuted = 0  # our own suspicions by others
        self.refused = 0  # words that the table had no room for, or that made no sense

    # What is known

    @property
    def size(self) -> int:
        """Instances that are alive or suspect, this one among them."""
        return 1 + len(self.roll)

    def living(self) -> list[Word]:
        """The records of the other members that are alive or suspect."""
        return [self.table[name].word for name in self.roll]

    @property
    def unwell(self) -> bool:
        """Whether it doubts itself: what it finds wrong with others may be its own."""
        return self.doubt >= MOST_DOUBT // 2

    def alone(self, now_us: int) -> bool:
        """Whether it hears nobody, though it knows somebody."""
        return bool(self.table) and now_us - self.heard_us > ALONE * self.period_us

    # Time

    def tick(self, now_us: int) -> list[Out]:
        """What is due by now goes out."""
        out: list[Out] = []
        probe = self.probe
        if probe is not None and not probe.asked and now_us >= probe.begun_us + self._answer_us():
            out += self._ask_others(probe)
        for number, relayed in list(self.relayed.items()):
            if now_us >= relayed.until_us:
                del self.relayed[number]
                out.append(Out(Kind.NACK, relayed.asker, relayed.number, relayed.subject))
        if now_us >= self.next_us:
            # hazard: late turns are not made up for, or one that stood still would probe all at one moment
            self.next_us = max(self.next_us + self._period_us(), now_us + self._period_us() // 2)
            self.periods += 1
            self._probe_over(now_us)
            self._expire(now_us)
            out += self._probe_next(now_us)
        return out

    def due_us(self) -> int:
        """When to call `tick` next."""
        due = [self.next_us, *(each.until_us for each in self.relayed.values())]
        if self.probe is not None and not self.probe.asked:
            due.append(self.probe.begun_us + self._answer_us())
        return min(due)

    def stood_still(self, gap_us: int, now_us: int) -> None:
        """The process did nothing for so long: it accuses nobody of that time, and doubts itself."""
        self.doubt = MOST_DOUBT
        self.probe = None
        self.relayed.clear()
        self.heard_us = now_us
        self.next_us = max(self.next_us, now_us + int(self.period_us * self.rng.random()))
        for fellow in self.table.values():
            fellow.extended_us += gap_us

    def join_span_us(self) -> int:
        """Over which those who begin together ask seeds to let them in; 0: each as it likes. Hazard: 5,000
        that were restarted at one moment would ask three seeds all at once and again each period, and what
        these can't look at any more are also their answers to probes."""
        each = JOINS_A_PERIOD * max(1, len(self.seeds))
        return int(self.period_us * self.expected / each) if self.expected > each else 0

    def _period_us(self) -> int:
        return self.period_us * (self.doubt + 1)

    def _answer_us(self) -> int:
        return int(self._period_us() * ANSWER_PART)

    def _ask_others(self, probe: Probe) -> list[Out]:
        probe.asked = True
        fellow = self.table.get(probe.name)
        if fellow is None:
            return []
        chosen = [word for word in self.some(INDIRECT + 1) if word.name != probe.name][:INDIRECT]
        probe.asked_of = len(chosen)
        return [
            Out(Kind.ASK, word.address, probe.number, probe.name, word.name, fellow.word.address)
            for word in chosen
        ]

    def _probe_over(self, now_us: int) -> None:
        """The period of a probe has ended with no answer."""
        probe, self.probe = self.probe, None
        if probe is None:
            return
        fellow = self.table.get(probe.name)
        # each that was asked and said nothing at all: perhaps it is us who hear nothing (Lifeguard, IV)
        self._doubt(max(0, probe.asked_of - probe.nacks) if probe.asked_of else 1)
        if fellow is None or fellow.word.state >= State.SILENT or self.alone(now_us):
            return
        self.suspected += fellow.word.state is State.ALIVE
        self._suspect(fellow.word, self.me.name, now_us)

    def _expire(self, now_us: int) -> None:
        """Suspicions that were not refuted, and those who are over for long."""
        alone, size = self.alone(now_us), self.size
        for name in sorted(self.suspects | self.over):
            fellow = self.table[name]
            since_us = now_us - fellow.since_us - fellow.extended_us
            if fellow.word.state is State.SUSPECT and not alone:
                ends_us = suspicion_us(size, self.period_us, len(fellow.holders) - 1) * (self.doubt + 1)
                if now_us - fellow.first_us - fellow.extended_us >= ends_us:
                    word = fellow.word
                    self._take(Word(name, word.address, word.incarnation, State.SILENT, word.zone), now_us)
            elif fellow.word.state >= State.SILENT and since_us > FORGET_US:
                self._forget(name)
                self.twins.pop(name, None)

    def _probe_next(self, now_us: int) -> list[Out]:
        """Who is probed in this period. Hazard: instances that start together and ask whom they find first
        would be islands for good, each with somebody to talk to; so listed ones that are not known are asked
        on, as are silent ones."""
        nobody = not self.roll
        out: list[Out] = []
        if nobody or self.periods % RECONNECT == 0 or len(self.table) < len(self.seeds) - 1:
            known = {fellow.word.address for fellow in self.table.values()} | {self.me.address}
            unknown = [seed for seed in self.seeds if seed not in known]
            if unknown and now_us >= self.join_us:
                self.join_us = now_us + int(self.join_span_us() * (0.5 + self.rng.random()))
                out = [Out(Kind.JOIN, self.rng.choice(unknown))]
        silent = self._silent() if nobody or self.periods % RECONNECT == 0 else []
        if silent:
            return [*out, self._send_probe(self.rng.choice(silent), now_us)]
        if nobody:
            return out
        while True:
            if not self.order:
                self.order = list(self.roll)
                self.rng.shuffle(self.order)
            fellow = self.table.get(self.order.pop())
            if fellow is not None and fellow.word.state < State.SILENT:
                return [*out, self._send_probe(fellow.word, now_us)]

    def _silent(self) -> list[Word]:
        return [
            self.table[name].word for name in sorted(self.over) if self.table[name].word.state is State.SILENT
        ]

    def _send_probe(self, word: Word, now_us: int) -> Out:
        self.numbers += 1
        self.probe = Probe(word.name, self.numbers, now_us)
        return Out(Kind.PROBE, word.address, self.numbers, to=word.name)

    # What comes in

    def heard(self, sender: Word, now_us: int) -> None:
        """A datagram of a sender has come: it is there, as it says."""
        self.heard_us = now_us
        self.take([sender], sender.name, now_us)
        fellow = self.table.get(sender.name)
        if fellow is not None and fellow.word.address == sender.address:
            fellow.heard_us = now_us
            if fellow.word.rank > sender.rank:
                # it doesn't know what is said of it: that goes to it with the answer, so that it can refute
                self.words[sender.name] = 0

    def came(
        self, kind: Kind, number: int, subject: str, sender: Address, subject_address: Address, now_us: int
    ) -> list[Out]:
        """A message has come; what it asks for."""
        if kind in (Kind.PROBE, Kind.JOIN):
            return [Out(Kind.ACK, sender, number)]
        if kind is Kind.ASK:
            if len(self.relayed) >= MOST_WORDS_HELD or subject_address == NOWHERE:
                return []
            self.numbers += 1
            self.relayed[self.numbers] = Relayed(sender, number, subject, now_us + self._answer_us())
            return [Out(Kind.PROBE, subject_address, self.numbers, to=subject)]
        if kind is Kind.ACK:
            relayed = self.relayed.pop(number, None)
            if relayed is not None:
                return [Out(Kind.ACK, relayed.asker, relayed.number, relayed.subject)]
            if self.probe is not None and self.probe.number == number:
                self.probe = None
                self._doubt(-1)
        elif kind is Kind.NACK and self.probe is not None and self.probe.number == number:
            self.probe.nacks += 1
        return []

    def take(self, words: Iterable[Word], teller: str, now_us: int) -> None:
        """Join what another says."""
        for word in words:
            if not 0 <= word.incarnation <= FURTHEST or not word.name:
                self.refused += 1
            elif word.name == self.me.name:
                self._of_me(word)
            elif word.state is State.SUSPECT:
                self._suspect(word, teller, now_us)
            else:
                self._take(word, now_us)

    def _of_me(self, word: Word) -> None:
        """Somebody says something of us. Hazard: two under one name would refute each other for ever; so what
        is said of another address is not ours to refute."""
        if word.address != self.me.address:
            if word.state is State.ALIVE:
                self.twins[word.name] = word.address
            return
        if word.rank > self.me.rank and not self.leaving:
            self.me = Word(
                self.me.name,
                self.me.address,
                max(word.incarnation, self.me.incarnation) + 1,
                State.ALIVE,
                self.me.zone,
            )
            self.words[self.me.name] = 0
            if word.state is State.SUSPECT:
                self._doubt(1)

    def _suspect(self, word: Word, teller: str, now_us: int) -> None:
        fellow = self.table.get(word.name)
        suspect = Word(word.name, word.address, word.incarnation, State.SUSPECT, word.zone)
        if fellow is not None and fellow.word.rank == suspect.rank:
            if teller not in fellow.holders and len(fellow.holders) <= CONFIRMED:
                fellow.holders.add(teller)
                self.words[word.name] = 0  # each that holds it is told of on
            return
        if self._take(suspect, now_us):
            self.table[word.name].holders = {teller}
            self.table[word.name].first_us = now_us

    def _take(self, word: Word, now_us: int) -> bool:
        """Whether a word is news."""
        fellow = self.table.get(word.name)
        if fellow is None:
            if word.state >= State.SILENT:
                return False  # of one that is not known here there is nothing to forget
            if len(self.table) >= MOST_FELLOWS and not self._make_room():
                self.refused += 1
                return False
            self.table[word.name] = Fellow(word, now_us)
            self._stands(word)
            if self.order:
                self.order.insert(self.rng.randrange(len(self.order) + 1), word.name)
        else:
            if word.rank <= fellow.word.rank:
                if word.rank == fellow.word.rank and word.address != fellow.word.address:
                    self.twins[word.name] = word.address
                return False
            self.refuted += fellow.word.state is State.SUSPECT and word.state is State.ALIVE
            if word.state is not fellow.word.state:
                fellow.since_us, fellow.extended_us = now_us, 0
            fellow.word, fellow.holders = word, set()
            self._stands(word)
        self.words[word.name] = 0
        if len(self.words) > MOST_WORDS_HELD:
            self.words.pop(max(self.words, key=lambda name: self.words[name]))
        return True

    def _make_room(self) -> bool:
        if self.over:
            self._forget(min(sorted(self.over), key=lambda name: self.table[name].since_us))
            return True
        return False

    def _forget(self, name: str) -> None:
        del self.table[name]
        self.over.discard(name)
        self.words.pop(name, None)

    def _stands(self, word: Word) -> None:
        """One has come into this state."""
        name = word.name
        if word.state < State.SILENT and name not in self.there:
            self.there[name] = len(self.roll)
            self.roll.append(name)
        elif word.state >= State.SILENT and name in self.there:
            place, last = self.there.pop(name), self.roll.pop()
            if last != name:
                self.roll[place], self.there[last] = last, place
        (self.suspects.add if word.state is State.SUSPECT else self.suspects.discard)(name)
        (self.over.add if word.state >= State.SILENT else self.over.discard)(name)

    def _doubt(self, by: int) -> None:
        self.doubt = min(MOST_DOUBT, max(0, self.doubt + by))

    # What goes out beside it

    def tell(self, most: int, to: str = "") -> list[Word]:
        """The words that go out with a datagram, at most so many: what is said of its receiver first, then
        those that went least often, then some of the table at random, so that what was missed comes round."""
        often = SPREAD * math.log2(self.size + 1)
        found: dict[str, Word] = {}
        receiver = self.table.get(to)
        if receiver is not None and receiver.word.state is not State.ALIVE:
            found[to] = receiver.word
        for name in sorted(self.words, key=lambda name: self.words[name])[: most - len(found)]:
            word = self._word_of(name)
            self.words[name] += 1
            if word is None or self.words[name] >= often:
                del self.words[name]
            if word is not None:
                found[name] = word
        left = most - len(found)
        for word in self.some(min(left, 4)):
            found.setdefault(word.name, word)
        return list(found.values())[:most]

    def _word_of(self, name: str) -> Word | None:
        if name == self.me.name:
            return self.me
        fellow = self.table.get(name)
        return fellow.word if fellow is not None else None

    def some(self, most: int) -> list[Word]:
        """Others that are alive, at random: whom to tell news."""
        return [self.table[name].word for name in self.rng.sample(self.roll, min(most, len(self.roll)))]

    def leave(self) -> list[Out]:
        """It stops: as many hear of it as a word goes to at a time."""
        self.leaving = True
        self.me = Word(self.me.name, self.me.address, self.me.incarnation, State.GONE, self.me.zone)
        return [Out(Kind.TELL, word.address, to=word.name) for word in self.some(INDIRECT * 2)]
