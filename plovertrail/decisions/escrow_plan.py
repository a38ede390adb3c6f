"""Whom an instance asks for rights, how many it keeps, and what it gives back: rights follow demand.

Nothing here can overspend: escrow.py holds that, whatever is asked for. What is decided is how little lies
idle. Each instance keeps its even part of the slots, claimed in an order of its own. One that is short
of what it has had in use at once of late, and a reserve, borrows from others directly, who lend all that they
can do without; a loan goes back soon after it is not needed, a slot beyond the even part later. Pure: times
are arguments, in microseconds of the instance's own clock.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from plovertrail.decisions.escrow import (
    Ask,
    Grant,
    Holder,
    Message,
    Promise,
    Release,
    Return,
    Rules,
    Ticket,
    Who,
    rank,
)

TICK_PART = 40  # of the lease: so often it is looked at what is due
RENEW_PART = 12  # of the lease: so often a slot is claimed again; at a loss of 30 % most times in vain
RESERVE = 0.25  # of what is in use, kept beyond it: demand grows while more is on its way
LEAST_RESERVE = 1.0
# of what was refused of late so much counts beside what is in use, or all that are short would want it all
GROWTH, LEAST_GROWTH = 0.5, 2.0
PEAK_HALF_US = 500_000  # in which what was in use at once counts half
IDLE_PART = 4  # of the lease: a slot that was too much for so long goes back,
LOAN_IDLE_PART = 20  # and a loan: others' demand moves as fast as one's own
POOR_PART = 60  # of the lease: who had nothing to lend is not asked for so long
MOST_CLAIMS = 2  # slots that are claimed at a time, besides those that are kept
MOST_ASKS = 6  # loans that are asked for at a time
PATIENCE_PART = 20  # of the lease, for electors' answers,
ASK_AGAIN_PART = 80  # and for a lender's
MOST_TRIES = 3  # times that patience, before a slot that not enough electors have promised is given up
RELEASES = 3  # times that a release, or the return of a loan, goes out
SHORT_US = 5_000  # between two looks while it is short


@dataclass(frozen=True, slots=True)
class Out:
    """A message for one instance."""

    to: str
    message: Message


@dataclass(slots=True)
class Asked:
    """A loan that is asked for."""

    name: str
    ask: Ask
    sent_us: int
    tries: int = 1


class Planner:
    """One instance's part in one budget. `members` tells who is there, this one among them; electors are
    asked by name as others are."""

    def __init__(
        self,
        budget: str,
        rules: Rules,
        me: Who,
        electorates: Sequence[Sequence[str]],
        members: Callable[[], Sequence[str]],
        rng: random.Random,
        now_us: int,
    ) -> None:
        self.budget = budget
        self.holder = Holder(rules, me, electorates)
        self.members = members
        self.rng = rng
        self.peak = 0.0  # of what was in use at once, the old fading
        self.peak_us = now_us
        self.refused = 0.0  # for want of a right, since the last look
        self.renewed: dict[int, int] = {}  # when each slot was last claimed
        self.trying: dict[int, int] = {}  # slots that are claimed and not held yet, since when
        self.taken: dict[int, int] = {}  # slots that others have, as electors told, and till when
        self.order: list[int] = []  # in which slots are claimed
        self.asked: dict[int, Asked] = {}  # loans asked for
        self.returning: dict[int, tuple[Out, int]] = {}  # loans that went back, told again, and how often
        self.poor: dict[str, int] = {}  # who had nothing to lend, and till when it isn't asked
        self.idle_since_us: int | None = None
        self.releasing: dict[int, tuple[Release, int]] = {}  # that go out again, and how often
        self.next_us = now_us + int(rng.random() * self._tick_us())

    @property
    def rules(self) -> Rules:
        """The rules of the holder that this plans for."""
        return self.holder.rules

    def _tick_us(self) -> int:
        return max(10_000, self.rules.lease_us // TICK_PART)

    # Use

    def spend(self, now_us: int) -> Ticket | None:
        """A right, to be told when it is over; None: there is none."""
        ticket = self.holder.spend(now_us)
        if ticket is None:
            self.refused += 1.0
            self.next_us = min(self.next_us, now_us + SHORT_US)
        self._follow(now_us)
        return ticket

    def _follow(self, now_us: int) -> None:
        self.peak *= 2.0 ** ((self.peak_us - now_us) / PEAK_HALF_US)
        self.peak_us = now_us
        self.peak = max(self.peak, float(self.holder.in_use(now_us)))

    def wanted(self, now_us: int) -> int:
        """How many it should have, in use or not."""
        self._follow(now_us)
        short = min(self.refused, max(LEAST_GROWTH, GROWTH * self.peak))
        need = self.peak + short
        return math.ceil(need + max(LEAST_RESERVE, RESERVE * need))

    def had(self, now_us: int) -> int:
        """How many it has, in use or not."""
        return self.holder.spare(now_us) + self.holder.in_use(now_us)

    # Time

    def tick(self, now_us: int) -> list[Out]:
        """What is due by now goes out."""
        if now_us < self.next_us:
            return []
        self.next_us = now_us + int(self._tick_us() * (0.75 + 0.5 * self.rng.random()))
        out = self._renew(now_us) + self._tell_again(now_us)
        self._expire(now_us)
        wanted, had = self.wanted(now_us), self.had(now_us)
        self.refused /= 2.0
        out += self._claim(max(wanted, self.even_part()) - had, now_us)
        if had < wanted:
            out += self._borrow(wanted - had, now_us)
        if had > wanted:
            out += self._less(had - wanted, now_us)
        else:
            self.idle_since_us = None
        return out

    def even_part(self) -> int:
        """Of the budget, were it shared out by number."""
        return self.rules.total // max(1, len(self.members()))

    def _to_electors(self, message: Message) -> list[Out]:
        return [Out(name, message) for name in self.holder.electors]

    def _renew(self, now_us: int) -> list[Out]:
        out: list[Out] = []
        for slot in self.holder.held(now_us):
            self.trying.pop(slot, None)
            if now_us - self.renewed.get(slot, 0) >= self.rules.lease_us // RENEW_PART:
                self.renewed[slot] = now_us
                out += self._to_electors(self.holder.claim(slot, now_us))
        return out

    def _expire(self, now_us: int) -> None:
        self.taken = {slot: until_us for slot, until_us in self.taken.items() if until_us > now_us}
        for number, each in list(self.asked.items()):
            if now_us - each.sent_us > self.rules.lease_us // ASK_AGAIN_PART and each.tries >= MOST_TRIES:
                del self.asked[number]
        self.poor = {name: until_us for name, until_us in self.poor.items() if until_us > now_us}

    def _claim(self, short: int, now_us: int) -> list[Out]:
        """Slots that are nobody's, as far as is known."""
        out: list[Out] = []
        held = set(self.holder.held(now_us))
        patience_us = self.rules.lease_us // PATIENCE_PART
        for slot, since_us in list(self.trying.items()):
            if slot in held:
                continue
            if now_us - since_us > MOST_TRIES * patience_us:
                # hazard: of three who each have one elector's promise none would ever have two
                out += self._give_up(slot, now_us)
            elif now_us - self.renewed[slot] > patience_us:
                self.renewed[slot] = now_us
                out += self._to_electors(self.holder.claim(slot, now_us))
        if short <= 0 or len(self.trying) >= MOST_CLAIMS:
            return out
        free = (
            slot
            for slot in self._order()
            if slot not in held and slot not in self.trying and slot not in self.taken
        )
        for slot in itertools.islice(free, MOST_CLAIMS - len(self.trying)):
            if short <= 0:
                break
            short -= self.rules.rights(slot)
            self.trying[slot] = self.renewed[slot] = now_us
            out += self._to_electors(self.holder.claim(slot, now_us))
        return out

    def _order(self) -> list[int]:
        """All slots, in an order of its own that is the same each time: whom a slot ranks first would cost a
        look at all members for each slot."""
        if len(self.order) != self.rules.slots:
            self.order = sorted(
                range(self.rules.slots), key=lambda slot: rank(self.budget, slot, self.holder.me.name)
            )
        return self.order

    def _borrow(self, short: int, now_us: int) -> list[Out]:
        out = []
        busy = {each.name for each in self.asked.values()}
        lenders = [
            name
            for name in self.members()
            if name not in busy and name not in self.poor and name != self.holder.me.name
        ]
        room = max(0, MOST_ASKS - len(self.asked))
        for name in self.rng.sample(lenders, min(room, len(lenders))):
            ask = self.holder.ask(name, short, now_us)
            self.asked[ask.number] = Asked(name, ask, now_us)
            out.append(Out(name, ask))
        return out

    def _give_up(self, slot: int, now_us: int) -> list[Out]:
        self.trying.pop(slot, None)
        release = self.holder.release(slot, now_us)
        if release is None:
            return []
        # for a random time, or those who were in each other's way would be so again
        wait_us = int(self.rules.lease_us / PATIENCE_PART * (1.0 + 3.0 * self.rng.random()))
        self.taken.setdefault(slot, now_us + wait_us)
        return self._released(slot, release)

    def _released(self, slot: int, release: Release) -> list[Out]:
        """Hazard: a release that is lost leaves the slot nobody's for a whole lease."""
        self.releasing[slot] = release, RELEASES - 1
        return self._to_electors(release)

    def _tell_again(self, now_us: int) -> list[Out]:
        """What may have been lost. Hazard: a loan that doesn't arrive is nobody's till it ends; asked for
        again under its number it is the same one."""
        out: list[Out] = []
        for each in self.asked.values():
            if each.tries < MOST_TRIES and now_us - each.sent_us > self.rules.lease_us // ASK_AGAIN_PART:
                each.sent_us, each.tries = now_us, each.tries + 1
                out.append(Out(each.name, each.ask))
        for number, (back, left) in list(self.returning.items()):
            out.append(back)
            self.returning[number] = back, left - 1
            if left <= 1:
                del self.returning[number]
        for slot, (release, left) in list(self.releasing.items()):
            if slot in self.holder.slots or not left:
                del self.releasing[slot]
                continue
            self.releasing[slot] = release, left - 1
            out += self._to_electors(release)
        return out

    def _less(self, much: int, now_us: int) -> list[Out]:
        """What was too much for a while goes back: loans that it can do without, then slots."""
        if self.idle_since_us is None:
            self.idle_since_us = now_us
        idle_us = now_us - self.idle_since_us
        if idle_us < self.rules.lease_us // LOAN_IDLE_PART:
            return []
        back = self._loans_back(much, now_us)
        if back or idle_us < self.rules.lease_us // IDLE_PART:
            return back
        held = self.holder.held(now_us)
        mine = sum(self.rules.rights(slot) for slot in held)
        for slot in held:
            if self.rules.rights(slot) <= min(much, mine - self.even_part()):
                release = self.holder.release(slot, now_us)
                if release is not None:
                    return self._released(slot, release)
        return []

    def _loans_back(self, much: int, now_us: int) -> list[Out]:
        """So much of what is borrowed goes back, what ends first before the rest."""
        out: list[Out] = []
        for number, loan in sorted(self.holder.loans.items(), key=lambda each: each[1].until_us):
            free = loan.lot.free(now_us)
            if 0 < free <= much:
                back = self.holder.give_back(number, now_us)
                if back is not None:
                    much -= free
                    out.append(Out(*back))
                    self.returning[number] = out[-1], RELEASES - 1
        return out

    # What comes in

    def came(self, message: Message, who: Who, now_us: int) -> list[Out]:
        """A message of another holder or elector; claims and releases are an elector's."""
        if isinstance(message, Promise):
            self.holder.promised(message, who.name, now_us)
            if not message.given and message.holder != self.holder.me.name:
                self.taken[message.slot] = now_us + message.wait_us
                if message.slot in self.trying and message.holder:
                    return self._lost(message.slot, now_us)
        elif isinstance(message, Grant):
            self.asked.pop(message.number, None)
            if not self.holder.granted(message, who.name, now_us):
                self.poor[who.name] = now_us + self.rules.lease_us // POOR_PART
        elif isinstance(message, Return):
            self.holder.returned(message, who)
        elif isinstance(message, Ask):
            return self._lend(message, who, now_us)
        return []

    def _lost(self, slot: int, now_us: int) -> list[Out]:
        """An elector has promised it to another: given up at once if it can't be had any more."""
        it = self.holder.slots.get(slot)
        if it is None or it.held:
            return []
        return self._give_up(slot, now_us)

    def _lend(self, ask: Ask, who: Who, now_us: int) -> list[Out]:
        beyond = self.had(now_us) - self.wanted(now_us)
        most = max(0, min(beyond, self.holder.spare(now_us)))
        grant = self.holder.asked(ask, who, most, now_us)
        if grant is None:
            return []
        # hazard: what was borrowed and is idle here could be lent by its owner, and by nobody else
        return [Out(who.name, grant), *self._loans_back(beyond - grant.count, now_us)]
