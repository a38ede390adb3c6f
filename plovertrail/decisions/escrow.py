"""Rights that are lent for a time, so that what all instances spend is never above a budget.

A budget is cut into slots, each with some of its rights. Who holds a slot has the promises of more than half
of the electors, each of which promises it to one at a time (leases: Gray and Cheriton, "Leases", SOSP 1989;
a majority with no log and no disk: Trencseni and others, "PaxosLease", 2012). From what it holds an instance
lends to others directly, by numbered transfers that may come twice or never (escrow: O'Neil, "The Escrow
Transactional Method", ACM TODS 11, 1986; rights moved between two: Balegas and others, "Extending Eventually
Consistent Cloud Databases for Enforcing Numeric Invariants", SRDS 2015).

Why the sum holds. Any two majorities share an elector, and a promise ends at the elector no sooner than at
the holder: the holder's time begins when it asked, and is cut by what clocks may drift and what a send may
take; the elector's begins when it promised, and is stretched by the same. One who lends counts what it lent
in the same way, and only within its own promises. A right is spent only if it lasts for as long as the
spending may, so that nothing is under way on a right that another has by then. A process that stood still
finds its rights void, as they are held against its clock at each spending; one that has restarted is
another holder, and as an elector promises nothing until all that it may have promised is over. Nothing here
waits, and who hears nothing spends what it holds until that ends. Pure: times are arguments, intervals of
one's own clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field

MOST_ASKED = 4  # claims of one slot that are out at once; the answers to older ones come too late
MOST_LEASES = 1_024  # that one lends at once, and borrowers that it remembers an answer to


@dataclass(frozen=True, slots=True, order=True)
class Who:
    """One life of one instance."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Rules:
    """A budget, the same for all. `hold_us`: for how long a right is taken once it is spent, at the longest:
    a request's deadline, or the period of a budget by period. `drift`: by which part a clock may be wrong.
    `slack_us`: from the moment of spending to the effect at the other end, at the longest. `former_lease_us`:
    while a lease is made shorter, the one before, till no instance has it any more."""

    total: int
    slots: int
    lease_us: int
    hold_us: int
    drift: float = 0.001
    slack_us: int = 50_000
    former_lease_us: int = 0

    def rights(self, slot: int) -> int:
        """Of one slot."""
        return self.total // self.slots + (slot < self.total % self.slots)

    @property
    def held_us(self) -> int:
        """How long a promise lasts for its holder, from when it asked."""
        return int(self.lease_us * (1.0 - self.drift)) - self.slack_us

    def promised_us(self, lease_us: int) -> int:
        """How long a promise of such a lease lasts for the elector, from when it promised."""
        return int(lease_us * (1.0 + self.drift)) + 1

    @property
    def longest_us(self) -> int:
        """How long any promise lasts for an elector, at the longest."""
        return self.promised_us(max(self.lease_us, self.former_lease_us))


# What goes between instances


@dataclass(frozen=True, slots=True)
class Claim:
    """To an elector: promise me this slot of so many, for such a lease, from now on."""

    slot: int
    number: int
    slots: int
    lease_us: int


@dataclass(frozen=True, slots=True)
class Promise:
    """An elector's answer; where it is none, who has the slot and for how long at the longest."""

    slot: int
    number: int
    given: bool
    holder: str = ""
    wait_us: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """To an elector: the promise that was given for this number, or an earlier one, is not needed."""

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class Ask:
    """To one who holds some: lend me so many."""

    number: int
    want: int


@dataclass(frozen=True, slots=True)
class Grant:
    """What is lent, for so long from when it was asked for; 0: nothing."""

    number: int
    count: int
    for_us: int


@dataclass(frozen=True, slots=True)
class Return:
    """Of that loan only so many are still needed."""

    number: int
    left: int


Message = Claim | Promise | Release | Ask | Grant | Return


@dataclass(slots=True)
class Promised:
    """A grant: to whom, its number, and when it ends on the grantor's clock."""

    holder: Who
    number: int
    until_us: int


class Elector:
    """What one elector has promised."""

    def __init__(self, rules: Rules, now_us: int) -> None:
        self.rules = rules
        # hazard: one that has restarted doesn't know what it has promised in its life before
        self.quiet_until_us = now_us + rules.longest_us
        self.promises: dict[int, Promised] = {}

    def claimed(self, claim: Claim, who: Who, now_us: int) -> Promise:
        """A claim has come: a promise, if the slot is nobody else's. Hazard: one who reckons with other slots
        means other rights by its number, and one with a longer lease would outlast the promise."""
        longest_us = max(self.rules.lease_us, self.rules.former_lease_us)
        if (
            claim.slots != self.rules.slots
            or not 0 <= claim.slot < claim.slots
            or not 0 < claim.lease_us <= longest_us
        ):
            return Promise(claim.slot, claim.number, False)
        if now_us < self.quiet_until_us:
            return Promise(claim.slot, claim.number, False, wait_us=self.quiet_until_us - now_us)
        old = self.promises.get(claim.slot)
        if old is not None and old.holder != who and now_us < old.until_us:
            return Promise(claim.slot, claim.number, False, old.holder.name, old.until_us - now_us)
        number, until_us = claim.number, now_us + self.rules.promised_us(claim.lease_us)
        if old is not None and old.holder == who:
            number, until_us = max(number, old.number), max(until_us, old.until_us)
        self.promises[claim.slot] = Promised(who, number, until_us)
        return Promise(claim.slot, claim.number, True)

    def released(self, release: Release, who: Who) -> None:
        """Hazard: one that was overtaken by a later claim of its holder would void that one's promise."""
        old = self.promises.get(release.slot)
        if old is not None and old.holder == who and old.number <= release.number:
            del self.promises[release.slot]

    def reconfigure(self, rules: Rules, now_us: int) -> None:
        """Other rules; promises hold as they were given."""
        if rules.slots != self.rules.slots:
            # hazard: slots of the same numbers are other rights now
            longest_us = max(rules.longest_us, self.rules.longest_us)
            self.quiet_until_us = max(self.quiet_until_us, now_us + longest_us)
            self.promises.clear()
        self.rules = rules


@dataclass(slots=True)
class Lot:
    """Rights that one holds together."""

    rights: int
    busy: dict[int, int] = field(default_factory=dict)  # till when each spent one is taken, by its ticket
    lent: dict[tuple[Who, int], tuple[int, int]] = field(default_factory=dict)  # how many, and till when

    def free(self, now_us: int) -> int:
        """That are neither spent nor lent now. It may be below 0: a budget can shrink under what is out."""
        # those spent first end first, so none is looked at that is not over, but one
        while self.busy and next(iter(self.busy.values())) <= now_us:
            del self.busy[next(iter(self.busy))]
        if self.lent:
            self.lent = {loan: each for loan, each in self.lent.items() if each[1] > now_us}
        return self.rights - len(self.busy) - sum(count for count, _ in self.lent.values())


@dataclass(slots=True)
class Slot:
    """One that is held, or claimed."""

    lot: Lot
    asked: dict[int, int] = field(default_factory=dict)  # when each of the last claims went out, by number
    until_us: dict[str, int] = field(default_factory=dict)  # of each elector's promise
    held: bool = False
    kept_us: int = 0  # while it is held: till when enough electors have promised it
    number: int = 0  # of the last claim


@dataclass(slots=True)
class Loan:
    """What another has lent to us."""

    lender: str
    lot: Lot
    until_us: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """One right that is spent, and of which slot or loan. Hazard: known by its end alone, one that is told to
    be over twice would free another's."""

    loan: bool
    place: int
    serial: int


class Holder:
    """The rights of one instance in one budget. `electorates`: the electors' names; a second group are those
    of before, while they are changed: both have to promise."""

    def __init__(self, rules: Rules, me: Who, electorates: Sequence[Sequence[str]]) -> None:
        self.rules = rules
        self.me = me
        self.electorates = tuple(tuple(dict.fromkeys(group)) for group in electorates if group)
        self.electors = tuple(dict.fromkeys(name for group in self.electorates for name in group))
        self.slots: dict[int, Slot] = {}
        self.loans: dict[int, Loan] = {}
        self.pending: dict[int, tuple[str, int]] = {}  # what was asked of whom, and when
        self.answers: dict[str, tuple[Who, Grant, int]] = {}  # the last one to each borrower, and when
        self.numbers = 0
        self.void = 0  # slots and loans that ended unused, or under a process that stood still

    # Slots

    def claim(self, slot: int, now_us: int) -> Claim:
        """What to send to all electors: for a slot that is wanted, and again to keep it."""
        self._lapse(now_us)
        self.numbers += 1
        it = self.slots.setdefault(slot, Slot(Lot(self.rules.rights(slot))))
        it.number = self.numbers
        it.asked[self.numbers] = now_us
        while len(it.asked) > MOST_ASKED:
            del it.asked[min(it.asked)]
        return Claim(slot, self.numbers, self.rules.slots, self.rules.lease_us)

    def promised(self, promise: Promise, elector: str, now_us: int) -> None:
        """An elector has answered. Hazard: counted from now, a promise that was long on its way would outlast
        the elector's own."""
        self._lapse(now_us)
        it = self.slots.get(promise.slot)
        asked_us = it.asked.get(promise.number) if it is not None else None
        if it is None or asked_us is None or elector not in self.electors:
            return
        if promise.given:
            it.until_us[elector] = max(it.until_us.get(elector, 0), asked_us + self.rules.held_us)
            it.held = it.held or self._until(it, first=True) > now_us
            it.kept_us = self._until(it)

    def release(self, slot: int, now_us: int) -> Release | None:
        """What to send to all electors, if nothing of the slot is spent or lent; else it stays."""
        self._lapse(now_us)
        it = self.slots.get(slot)
        if it is None or it.lot.free(now_us) < it.lot.rights:
            return None
        del self.slots[slot]
        return Release(slot, it.number)

    def _until(self, it: Slot, first: bool = False) -> int:
        """Till when enough electors have promised it: more than half of each group to come by it, and as many
        as no majority can do without to keep it."""
        found = []
        for group in self.electorates:
            majority = len(group) // 2 + 1
            needed = majority if first else len(group) - majority + 1
            ends = sorted((it.until_us.get(name, 0) for name in group), reverse=True)
            found.append(ends[needed - 1])
        return min(found, default=0)

    def _lapse(self, now_us: int) -> None:
        """Hazard: one whose promises ran out for a moment, in which another may have come by the slot, must
        not go on as if it had kept it when later promises come."""
        for it in self.slots.values():
            if it.held and it.kept_us <= now_us:
                self._give_up(it)
                self.void += 1
        for number, loan in list(self.loans.items()):
            if loan.until_us <= now_us:
                del self.loans[number]
                self.void += loan.lot.free(now_us) > 0

    @staticmethod
    def _give_up(it: Slot) -> None:
        """It is held no more. What is spent or lent of it stays counted, should it be had again."""
        it.held = False
        it.until_us = {}
        it.asked = {}

    def held(self, now_us: int) -> list[int]:
        """The slots that are held now."""
        self._lapse(now_us)
        return [number for number, it in self.slots.items() if it.held]

    # Spending

    def spare(self, now_us: int) -> int:
        """How many could be spent at this moment."""
        self._lapse(now_us)
        least_us = now_us + self.rules.hold_us
        return sum(
            max(0, it.lot.free(now_us)) for it in self.slots.values() if it.held and it.kept_us >= least_us
        ) + sum(max(0, loan.lot.free(now_us)) for loan in self.loans.values() if loan.until_us >= least_us)

    def in_use(self, now_us: int) -> int:
        """How many are spent, and not over."""
        lots = [it.lot for it in self.slots.values()] + [loan.lot for loan in self.loans.values()]
        for lot in lots:
            lot.free(now_us)
        return sum(len(lot.busy) for lot in lots)

    def spend(self, now_us: int) -> Ticket | None:
        """Take one, of what ends first: what is lent goes back sooner then. None: there is none, and whatever
        it was wanted for may not be done. To be asked at the very moment of doing it."""
        self._lapse(now_us)
        end_us = now_us + self.rules.hold_us
        best: tuple[int, bool, int, Lot] | None = None
        for number, loan in self.loans.items():
            if (
                loan.until_us >= end_us
                and (best is None or loan.until_us < best[0])
                and loan.lot.free(now_us) > 0
            ):
                best = loan.until_us, True, number, loan.lot
        for number, it in self.slots.items():
            if (
                it.held
                and it.kept_us >= end_us
                and (best is None or it.kept_us < best[0])
                and it.lot.free(now_us) > 0
            ):
                best = it.kept_us, False, number, it.lot
        if best is None:
            return None
        _, borrowed, place, lot = best
        self.numbers += 1
        lot.busy[self.numbers] = end_us
        return Ticket(borrowed, place, self.numbers)

    def done(self, ticket: Ticket) -> None:
        """What a right was spent for is known to be over. Not for budgets by period, where time alone ends
        it; nor where no answer came: it may still be under way."""
        found = (self.loans if ticket.loan else self.slots).get(ticket.place)
        if found is not None:
            found.lot.busy.pop(ticket.serial, None)

    # Loans

    def ask(self, lender: str, want: int, now_us: int) -> Ask:
        """What to send to one who may have some to spare."""
        self.numbers += 1
        self.pending[self.numbers] = lender, now_us
        for number, (_, asked_us) in list(self.pending.items()):
            if asked_us + self.rules.held_us <= now_us:
                del self.pending[number]  # whatever is lent by that is over
        return Ask(self.numbers, want)

    def asked(self, ask: Ask, who: Who, most: int, now_us: int) -> Grant | None:
        """Somebody would borrow: at most `most` are lent. An answer that was lost is given again as it was,
        as the borrower's time began when it first asked."""
        self._lapse(now_us)
        known = self.answers.get(who.name)
        if known is not None and known[0] == who and ask.number <= known[1].number:
            return known[1] if ask.number == known[1].number else None
        if known is None and len(self.answers) >= MOST_LEASES and not self._forget_answers(now_us):
            return None
        grant = Grant(ask.number, 0, 0)
        best: tuple[int, Lot] | None = None
        for it in self.slots.values():
            # never of what is borrowed: its time is another's to give
            until_us = it.kept_us if it.held else 0
            free = it.lot.free(now_us)
            if free > 0 and until_us > now_us + self.rules.hold_us and (best is None or until_us > best[0]):
                best = until_us, it.lot
        count = 0 if best is None else min(most, ask.want, best[1].free(now_us))
        if best is not None and count > 0 and len(best[1].lent) < MOST_LEASES:
            until_us, lot = best
            for_us = int((until_us - now_us) * (1.0 - self.rules.drift))
            lot.lent[who, ask.number] = count, now_us + int(for_us * (1.0 + self.rules.drift)) + 1
            grant = Grant(ask.number, count, for_us)
        self.answers[who.name] = who, grant, now_us
        return grant

    def _forget_answers(self, now_us: int) -> bool:
        """Whether there is room for a further borrower. Hazard: an answer that is forgotten while its loan
        may still be taken up would be another loan of its number, and count as the smaller of the two."""
        oldest_us = now_us - self.rules.longest_us
        self.answers = {name: each for name, each in self.answers.items() if each[2] > oldest_us}
        return len(self.answers) < MOST_LEASES

    def granted(self, grant: Grant, lender: str, now_us: int) -> bool:
        """A loan has come; whether it is one. Hazard: the same one twice would be twice the rights."""
        asked = self.pending.pop(grant.number, None)
        if asked is None or asked[0] != lender or grant.count <= 0:
            return False
        until_us = asked[1] + int(grant.for_us * (1.0 - self.rules.drift)) - self.rules.slack_us
        if until_us <= now_us:
            self.void += 1
            return False
        self.loans[grant.number] = Loan(lender, Lot(grant.count), until_us)
        return True

    def give_back(self, number: int, now_us: int) -> tuple[str, Return] | None:
        """What to send to the lender: all that is not spent goes back."""
        loan = self.loans.get(number)
        if loan is None:
            return None
        loan.lot.free(now_us)
        left = len(loan.lot.busy)
        loan.lot.rights = min(loan.lot.rights, left)
        if not left:
            del self.loans[number]
        return loan.lender, Return(number, left)

    def returned(self, back: Return, who: Who) -> None:
        """Some of a loan has come back. The lowest figure that was told holds, in whatever order."""
        for it in self.slots.values():
            loan = it.lot.lent.get((who, back.number))
            if loan is not None:
                left = max(0, min(loan[0], back.left))
                it.lot.lent[who, back.number] = left, loan[1]
                if not left:
                    del it.lot.lent[who, back.number]

    def reconfigure(self, rules: Rules, electorates: Sequence[Sequence[str]]) -> None:
        """Another budget: a smaller one holds for what is spent from now on; what is out ends by itself. With
        other electors what is held is claimed anew. With other slots all is forgotten: electors promise none
        of these before whatever is out is over."""
        electors = tuple(tuple(dict.fromkeys(group)) for group in electorates if group)
        if rules.slots != self.rules.slots:
            self.slots, self.pending = {}, {}
        elif electors != self.electorates:
            # hazard: some electors are the same, and would promise at once what is still spent or lent
            for it in self.slots.values():
                self._give_up(it)
        self.electorates = electors
        self.electors = tuple(dict.fromkeys(name for group in electors for name in group))
        self.rules = rules
        for number, it in self.slots.items():
            it.lot.rights = rules.rights(number)


def rank(budget: str, slot: int, name: str) -> int:
    """Where a slot stands for one instance: each has another order, so that few want the same one first."""
    return int.from_bytes(hashlib.blake2b(f"{budget} {slot} {name}".encode(), digest_size=8).digest())
