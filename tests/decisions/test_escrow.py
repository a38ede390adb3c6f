"""Rights that are lent: all histories of three instances, planted faults that are found, each law alone."""

from __future__ import annotations

import pytest

from plovertrail.decisions.escrow import (
    MOST_LEASES,
    Ask,
    Claim,
    Elector,
    Grant,
    Holder,
    Promise,
    Promised,
    Release,
    Return,
    Rules,
    Who,
    rank,
)
from standins.escrow_checker import LIMITS, Checker, Limits

S = 1_000_000
RULES = Rules(total=10, slots=4, lease_us=6 * S, hold_us=S)
ME, OTHER = Who("a", 1), Who("b", 1)
ELECTORS = ("x", "y", "z")


def holder(me: Who = ME, rules: Rules = RULES) -> Holder:
    return Holder(rules, me, [ELECTORS])


def take(it: Holder, slot: int, now_us: int, electors: tuple[str, ...] = ELECTORS, late_us: int = 0) -> Claim:
    """It claims a slot, and these promise it."""
    claimed = it.claim(slot, now_us)
    for elector in electors:
        it.promised(Promise(slot, claimed.number, True), elector, now_us + late_us)
    return claimed


def claim(slot: int, number: int, rules: Rules = RULES) -> Claim:
    return Claim(slot, number, rules.slots, rules.lease_us)


# All histories


@pytest.mark.parametrize("name", LIMITS)
def test_no_history_of_three_instances_overspends(name: str) -> None:
    found = Checker(LIMITS[name]).explore(8, 6_000)
    assert found.history == () and found.states >= 6_000


class CountsTwice(Holder):
    """A loan that comes again is another loan."""

    def granted(self, grant: Grant, lender: str, now_us: int) -> bool:
        asked = self.pending.get(grant.number)
        taken = super().granted(grant, lender, now_us)
        if asked is not None and taken:
            self.pending[grant.number] = asked
            self.loans[1_000 + len(self.loans)] = self.loans.pop(grant.number)
        return taken


class BeginsAtReceipt(Holder):
    """A promise lasts from when it came."""

    def promised(self, promise: Promise, elector: str, now_us: int) -> None:
        it = self.slots.get(promise.slot)
        if it is not None and promise.number in it.asked:
            it.asked[promise.number] = now_us
        super().promised(promise, elector, now_us)


class UsesWhatIsVoid(Holder):
    """What it held once it holds."""

    def _lapse(self, now_us: int) -> None:
        for it in self.slots.values():
            if it.held:
                it.kept_us = now_us + 10 * self.rules.lease_us


class LendsAndSpends(Holder):
    """What is lent is not counted."""

    def asked(self, ask: Ask, who: Who, most: int, now_us: int) -> Grant | None:
        grant = super().asked(ask, who, most, now_us)
        for it in self.slots.values():
            it.lot.lent.clear()
        return grant


class PromisesTooSoon(Elector):
    """One that has restarted knows of no promise, and takes none into account."""

    def __init__(self, rules: Rules, now_us: int) -> None:
        super().__init__(rules, now_us)
        self.quiet_until_us = now_us


class EndsTooSoon(Elector):
    """A promise ends here when a holder's would, by clocks that are all right."""

    def claimed(self, claim: Claim, who: Who, now_us: int) -> Promise:
        told = super().claimed(claim, who, now_us)
        if told.given:
            held = self.promises[claim.slot]
            self.promises[claim.slot] = Promised(who, held.number, now_us + self.rules.held_us // 2)
        return told


class PromisesToTwo(Elector):
    """Whoever asks last has it."""

    def claimed(self, claim: Claim, who: Who, now_us: int) -> Promise:
        self.promises.clear()
        return super().claimed(claim, who, now_us)


@pytest.mark.parametrize(
    ("fault", "limits"),
    [
        (CountsTwice, Limits(claims=1, repeats=1, asks=1)),
        (LendsAndSpends, Limits(claims=1, asks=1)),
        (BeginsAtReceipt, Limits(claims=2)),
        (UsesWhatIsVoid, Limits(claims=2)),
        (PromisesTooSoon, Limits(claims=2, restarts=1)),
        (EndsTooSoon, Limits(claims=2)),
        (PromisesToTwo, Limits(claims=2)),
    ],
)
def test_a_planted_fault_is_found(fault: type[Holder] | type[Elector], limits: Limits) -> None:
    if issubclass(fault, Holder):
        broken, sound = Checker(limits, holder=fault), Checker(limits)
    else:
        broken, sound = Checker(limits, elector=fault), Checker(limits)
    found = broken.explore(8)
    assert found.history, f"not found in {found.states} states"
    assert sound.explore(found.depth).history == (), "the same histories without the fault"


# Each law alone


def test_a_slot_is_held_with_more_than_half_and_kept_with_as_many_as_no_majority_can_do_without() -> None:
    it = Holder(RULES, ME, [("w", "x", "y", "z")])
    take(it, 0, 0, ("w", "x"))
    assert it.spare(0) == 0
    take(it, 0, 0, ("y",))
    assert it.spare(0) == RULES.rights(0) == 3
    take(it, 0, 3 * S, ("w", "x"))  # half of four: the others can give it to nobody else
    assert it.spare(6 * S) == 3


def test_what_has_lapsed_is_not_kept_by_promises_that_come_later() -> None:
    it = Holder(RULES, ME, [("w", "x", "y", "z")])
    take(it, 0, 0, ("w", "x", "y"))
    late = it.claim(0, 5 * S)
    it.promised(Promise(0, late.number, True), "w", 7 * S)
    it.promised(Promise(0, late.number, True), "x", 7 * S)
    assert it.spare(7 * S) == 0, "in between it may have been another's"


def test_a_right_is_spent_only_if_it_lasts_as_long_as_the_spending_may() -> None:
    it = holder()
    take(it, 0, 0)
    end_us = RULES.held_us - RULES.hold_us
    assert it.spare(end_us) == 3 and it.spend(end_us) is not None
    assert it.spare(end_us + 1) == 0 and it.spend(end_us + 1) is None
    assert it.in_use(end_us + 1) == 1


def test_a_process_that_stood_still_past_its_lease_has_nothing_to_spend() -> None:
    it = holder()
    take(it, 0, 0)
    assert it.spend(20 * S) is None and it.held(20 * S) == [] and it.void == 1


def test_a_right_is_free_again_when_its_use_is_over_or_known_to_be() -> None:
    it = holder()
    take(it, 3, 0)
    assert RULES.rights(3) == 2
    first, second = it.spend(0), it.spend(0)
    assert first is not None and second is not None and it.spend(0) is None
    it.done(first)
    it.done(first)  # once is enough
    assert it.spare(0) == 1
    assert it.spare(S) == 2, "a period has gone by"


def test_answers_to_claims_that_were_not_made_or_were_given_up_count_nothing() -> None:
    it = holder()
    made = it.claim(0, 0)
    it.promised(Promise(0, made.number + 1, True), "x", 0)
    it.promised(Promise(1, made.number, True), "x", 0)
    it.promised(Promise(0, made.number, True), "stranger", 0)
    it.promised(Promise(0, made.number, False, "b", S), "y", 0)
    it.promised(Promise(0, made.number, True), "z", 0)
    assert it.spare(0) == 0
    it.release(0, 0)
    for elector in ELECTORS:
        it.promised(Promise(0, made.number, True), elector, 0)
    assert it.spare(0) == 0


def test_a_release_that_a_later_claim_overtook_voids_nothing() -> None:
    elector = Elector(RULES, -100 * S)
    assert elector.claimed(claim(0, 1), ME, 0).given
    assert elector.claimed(claim(0, 2), ME, S).given
    elector.released(Release(0, 1), ME)
    told = elector.claimed(claim(0, 1), OTHER, S)
    assert not told.given and told.holder == "a" and told.wait_us == RULES.longest_us
    elector.released(Release(0, 2), Who("a", 2))
    assert not elector.claimed(claim(0, 1), OTHER, S).given, "another life of it has no say"
    elector.released(Release(0, 2), ME)
    assert elector.claimed(claim(0, 1), OTHER, S).given


def test_an_elector_promises_again_when_its_promise_is_over_and_nothing_of_unknown_slots() -> None:
    elector = Elector(RULES, -100 * S)
    assert elector.claimed(claim(0, 7), ME, 0).given
    assert not elector.claimed(claim(0, 1), OTHER, RULES.longest_us - 1).given
    assert elector.claimed(claim(0, 1), OTHER, RULES.longest_us).given
    assert not elector.claimed(claim(4, 1), OTHER, 0).given and not elector.claimed(claim(-1, 1), ME, 0).given
    assert len(elector.promises) == 1


def test_two_lives_of_one_instance_are_two_holders() -> None:
    elector = Elector(RULES, -100 * S)
    assert elector.claimed(claim(0, 9), Who("a", 1), 0).given
    assert not elector.claimed(claim(0, 1), Who("a", 2), S).given


def test_a_slot_with_rights_out_is_not_released() -> None:
    it = holder()
    take(it, 0, 0)
    ticket = it.spend(0)
    assert ticket is not None and it.release(0, 0) is None
    it.done(ticket)
    assert it.asked(Ask(1, 1), OTHER, 1, 0) is not None and it.release(0, 0) is None
    it.returned(Return(1, 0), OTHER)
    assert it.release(0, 0) == Release(0, 1)


def test_a_loan_is_counted_once_and_given_again_as_it_was() -> None:
    lender, borrower = holder(), holder(OTHER)
    take(lender, 0, 0)
    ask = borrower.ask("a", 2, 0)
    grant = lender.asked(ask, OTHER, 9, S)
    assert grant is not None and grant.count == 2 and lender.spare(S) == 1
    assert lender.asked(ask, OTHER, 9, 2 * S) == grant and lender.spare(2 * S) == 1
    assert borrower.granted(grant, "a", 2 * S) and not borrower.granted(grant, "a", 2 * S)
    assert borrower.spare(2 * S) == 2
    ends_us = borrower.loans[grant.number].until_us
    assert ends_us < S + grant.for_us, "from when it was asked for, and less what clocks may differ by"
    assert lender.asked(Ask(ask.number - 1, 1), OTHER, 9, 2 * S) is None, "an older one comes too late"


def test_what_is_borrowed_is_spent_first_and_goes_back() -> None:
    lender, borrower = holder(), holder(OTHER)
    take(lender, 0, 0)
    take(borrower, 3, 0)
    grant = lender.asked(borrower.ask("a", 2, 0), OTHER, 9, 0)
    assert grant is not None and borrower.granted(grant, "a", 0)
    ticket = borrower.spend(0)
    assert ticket is not None and ticket.loan
    assert borrower.give_back(grant.number, 0) == ("a", Return(grant.number, 1))
    lender.returned(Return(grant.number, 1), OTHER)
    lender.returned(Return(grant.number, 2), OTHER)  # an older one, late
    assert lender.spare(0) == 2
    borrower.done(ticket)
    assert borrower.give_back(grant.number, 0) == ("a", Return(grant.number, 0))
    assert borrower.give_back(grant.number, 0) is None
    lender.returned(Return(grant.number, 0), OTHER)
    assert lender.spare(0) == 3


def test_what_is_borrowed_is_not_lent_on_and_a_loan_from_a_stranger_is_none() -> None:
    lender, borrower = holder(), holder(OTHER)
    take(lender, 0, 0)
    grant = lender.asked(borrower.ask("a", 2, 0), OTHER, 9, 0)
    assert grant is not None
    assert not borrower.granted(grant, "c", 0)
    ask = borrower.ask("a", 2, 0)
    again = lender.asked(ask, OTHER, 9, 0)
    assert again is not None and borrower.granted(again, "a", 0)
    told = borrower.asked(Ask(1, 1), Who("c", 1), 9, 0)
    assert told is not None and told.count == 0


def test_a_smaller_budget_holds_at_once_for_what_is_spent_from_then_on() -> None:
    it = holder()
    take(it, 0, 0)
    assert it.spend(0) and it.spend(0) and it.spare(0) == 1
    it.reconfigure(Rules(total=4, slots=4, lease_us=6 * S, hold_us=S), [ELECTORS])
    assert it.spare(0) == 0 and it.spend(0) is None and it.in_use(0) == 2
    assert it.spare(S) == 1


def test_other_slots_are_other_rights_and_none_is_given_before_the_old_ones_are_over() -> None:
    it, elector = holder(), Elector(RULES, -100 * S)
    take(it, 0, 0)
    assert elector.claimed(claim(0, 1), ME, 0).given
    other = Rules(total=10, slots=2, lease_us=3 * S, hold_us=S)
    it.reconfigure(other, [ELECTORS])
    elector.reconfigure(other, S)
    assert it.spare(0) == 0
    assert not elector.claimed(claim(0, 1, other), OTHER, RULES.longest_us).given
    assert elector.claimed(claim(0, 1, other), OTHER, S + RULES.longest_us).given


def test_one_who_reckons_with_other_slots_or_a_longer_lease_is_promised_nothing() -> None:
    """Instances read a changed file at different moments."""
    elector = Elector(RULES, -100 * S)
    longer = Rules(total=10, slots=4, lease_us=9 * S, hold_us=S)
    assert not elector.claimed(claim(0, 1, longer), ME, 0).given
    assert not elector.claimed(claim(0, 1, Rules(10, 2, 6 * S, S)), ME, 0).given
    elector.reconfigure(longer, 0)
    assert elector.claimed(claim(0, 1, longer), ME, 0).given
    assert not elector.claimed(claim(0, 1), OTHER, RULES.longest_us).given, "for as long as it reckons with"


def test_a_lease_that_is_made_shorter_is_reckoned_with_as_long_as_anybody_may_have_it() -> None:
    shorter = Rules(total=10, slots=4, lease_us=2 * S, hold_us=S, former_lease_us=6 * S)
    begun = Elector(shorter, 0)  # a new process: what it promised before is not known
    assert not begun.claimed(claim(0, 1, shorter), ME, RULES.longest_us - 1).given
    assert begun.claimed(claim(0, 1), ME, RULES.longest_us).given, "one that has not read it yet"
    begun.claimed(claim(0, 2, shorter), ME, RULES.longest_us + 1)
    assert not begun.claimed(claim(0, 1), OTHER, 2 * RULES.longest_us - 1).given, "the longer promise holds"


def test_with_other_electors_what_is_spent_and_lent_stays_counted() -> None:
    it = holder()
    take(it, 0, 0)
    assert it.spend(0) is not None and it.asked(Ask(1, 1), OTHER, 1, 0) is not None
    it.reconfigure(RULES, [("x", "y", "q")])
    assert it.spare(0) == 0
    take(it, 0, 0, ("x", "y"))
    assert it.spare(0) == 1, "the other two are out"


def test_borrowers_that_are_over_make_room_and_no_answer_is_forgotten_too_soon() -> None:
    it = holder()
    take(it, 0, 0)
    for number in range(MOST_LEASES):
        assert it.asked(Ask(1, 1), Who(f"b{number}", 1), 0, 0) is not None
    assert it.asked(Ask(1, 1), Who("late", 1), 1, RULES.longest_us - 1) is None
    assert it.asked(Ask(1, 1), Who("late", 1), 1, RULES.longest_us) is not None


def test_while_electors_are_changed_both_groups_have_to_promise() -> None:
    it = Holder(RULES, ME, [("x", "y", "z"), ("p", "q", "r")])
    take(it, 0, 0, ("x", "y", "z", "p"))
    assert it.spare(0) == 0
    take(it, 0, 0, ("x", "y", "z", "p", "q"))
    assert it.spare(0) == 3


def test_each_instance_has_an_order_of_its_own_and_the_same_each_time() -> None:
    orders = [sorted(range(50), key=lambda slot: rank("b", slot, f"i{number}")) for number in range(20)]
    assert orders[3] == sorted(range(50), key=lambda slot: rank("b", slot, "i3"))
    assert len({order[0] for order in orders}) >= 12
