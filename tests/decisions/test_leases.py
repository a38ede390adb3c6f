"""Leases: the search of all histories of three instances, planted faults that it finds, and single rules."""

from __future__ import annotations

import pytest

from fakes.lease_checker import LIMITS, Checker, Limits
from plovertrail.decisions.leases import (
    MAX_LOANS,
    Acceptor,
    InstanceIncarnation,
    LeaseAnswer,
    LeaseClaim,
    LeaseGrant,
    LeaseHolder,
    LeaseRelease,
    LeaseRules,
    LoanAnswer,
    LoanRequest,
    LoanReturn,
    rank,
)

S = 1_000_000
RULES = LeaseRules(total=10, slots=4, lease_us=6 * S, max_use_us=S)
ME, OTHER = InstanceIncarnation("a", 1), InstanceIncarnation("b", 1)
ACCEPTORS = ("x", "y", "z")


def new_holder(me: InstanceIncarnation = ME, rules: LeaseRules = RULES) -> LeaseHolder:
    return LeaseHolder(rules, me, [ACCEPTORS])


def acquire(
    holder: LeaseHolder, slot: int, now_us: int, acceptors: tuple[str, ...] = ACCEPTORS, late_us: int = 0
) -> LeaseClaim:
    """Claim a slot that these acceptors grant."""
    sent_claim = holder.claim(slot, now_us)
    for acceptor in acceptors:
        holder.handle_lease_answer(LeaseAnswer(slot, sent_claim.number, True), acceptor, now_us + late_us)
    return sent_claim


def new_claim(slot: int, number: int, rules: LeaseRules = RULES) -> LeaseClaim:
    return LeaseClaim(slot, number, rules.slots, rules.lease_us)


# Search of all histories


@pytest.mark.parametrize("name", LIMITS)
def test_no_history_of_three_instances_overspends(name: str) -> None:
    found = Checker(LIMITS[name]).explore(8, 6_000)
    assert found.history == ()
    assert found.states >= 6_000


class DuplicatesLoans(LeaseHolder):
    """Counts a duplicate of a loan as another loan."""

    def handle_loan_answer(self, loan_answer: LoanAnswer, lender: str, now_us: int) -> bool:
        request = self.loan_requests.get(loan_answer.number)
        accepted = super().handle_loan_answer(loan_answer, lender, now_us)
        if request is not None and accepted:
            self.loan_requests[loan_answer.number] = request
            self.loans[1_000 + len(self.loans)] = self.loans.pop(loan_answer.number)
        return accepted


class TermFromArrival(LeaseHolder):
    """Begins the term when the grant arrives."""

    def handle_lease_answer(self, answer: LeaseAnswer, acceptor: str, now_us: int) -> None:
        state = self.slots.get(answer.slot)
        if state is not None and answer.number in state.claimed_us:
            state.claimed_us[answer.number] = now_us
        super().handle_lease_answer(answer, acceptor, now_us)


class IgnoresExpiry(LeaseHolder):
    """Keeps a slot for ever once it was acquired."""

    def _expire(self, now_us: int) -> None:
        for state in self.slots.values():
            if state.held:
                state.held_until_us = now_us + 10 * self.rules.lease_us


class ForgetsLoans(LeaseHolder):
    """Does not count the permits that it lends."""

    def handle_loan_request(
        self, request: LoanRequest, sender: InstanceIncarnation, max_count: int, now_us: int
    ) -> LoanAnswer | None:
        loan_answer = super().handle_loan_request(request, sender, max_count, now_us)
        for state in self.slots.values():
            state.batch.lent.clear()
        return loan_answer


class GrantsAfterRestart(Acceptor):
    """Grants immediately after a restart."""

    def __init__(self, rules: LeaseRules, now_us: int) -> None:
        super().__init__(rules, now_us)
        self.no_grants_until_us = now_us


class EndsGrantsEarly(Acceptor):
    """Ends a grant after half of its holder's term."""

    def handle_claim(self, claim: LeaseClaim, sender: InstanceIncarnation, now_us: int) -> LeaseAnswer:
        answer = super().handle_claim(claim, sender, now_us)
        if answer.granted:
            held = self.grants[claim.slot]
            self.grants[claim.slot] = LeaseGrant(sender, held.number, now_us + self.rules.holder_term_us // 2)
        return answer


class IgnoresGrants(Acceptor):
    """Grants a slot to whoever claims it last."""

    def handle_claim(self, claim: LeaseClaim, sender: InstanceIncarnation, now_us: int) -> LeaseAnswer:
        self.grants.clear()
        return super().handle_claim(claim, sender, now_us)


@pytest.mark.parametrize(
    ("fault", "limits"),
    [
        (DuplicatesLoans, Limits(claims=1, repeats=1, loan_requests=1)),
        (ForgetsLoans, Limits(claims=1, loan_requests=1)),
        (TermFromArrival, Limits(claims=2)),
        (IgnoresExpiry, Limits(claims=2)),
        (GrantsAfterRestart, Limits(claims=2, restarts=1)),
        (EndsGrantsEarly, Limits(claims=2)),
        (IgnoresGrants, Limits(claims=2)),
    ],
)
def test_a_planted_fault_is_found(fault: type[LeaseHolder] | type[Acceptor], limits: Limits) -> None:
    if issubclass(fault, LeaseHolder):
        broken, sound = Checker(limits, holder=fault), Checker(limits)
    else:
        broken, sound = Checker(limits, acceptor=fault), Checker(limits)
    found = broken.explore(8)
    assert found.history, f"not found in {found.states} states"
    assert sound.explore(found.depth).history == (), "no violation in the same histories without the fault"


# Single rules


def test_a_slot_is_acquired_by_a_majority_and_kept_while_the_others_have_none() -> None:
    holder = LeaseHolder(RULES, ME, [("w", "x", "y", "z")])
    acquire(holder, 0, 0, ("w", "x"))
    assert holder.available(0) == 0
    acquire(holder, 0, 0, ("y",))
    assert holder.available(0) == RULES.permits_of(0) == 3
    acquire(holder, 0, 3 * S, ("w", "x"))  # two of four: the other two are no majority
    assert holder.available(6 * S) == 3


def test_grants_that_arrive_late_do_not_continue_an_expired_lease() -> None:
    holder = LeaseHolder(RULES, ME, [("w", "x", "y", "z")])
    acquire(holder, 0, 0, ("w", "x", "y"))
    late = holder.claim(0, 5 * S)
    holder.handle_lease_answer(LeaseAnswer(0, late.number, True), "w", 7 * S)
    holder.handle_lease_answer(LeaseAnswer(0, late.number, True), "x", 7 * S)
    assert holder.available(7 * S) == 0, "another instance may have held it in between"


def test_a_permit_is_spent_only_if_its_lease_outlasts_the_longest_use() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    end_us = RULES.holder_term_us - RULES.max_use_us
    assert holder.available(end_us) == 3
    assert holder.spend(end_us) is not None
    assert holder.available(end_us + 1) == 0
    assert holder.spend(end_us + 1) is None
    assert holder.in_use(end_us + 1) == 1


def test_a_process_paused_past_its_lease_has_nothing_to_spend() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    assert holder.spend(20 * S) is None
    assert holder.held_slots(20 * S) == []
    assert holder.lapsed == 1


def test_a_permit_is_free_when_its_use_is_finished_or_its_time_has_passed() -> None:
    holder = new_holder()
    acquire(holder, 3, 0)
    assert RULES.permits_of(3) == 2
    first, second = holder.spend(0), holder.spend(0)
    assert first is not None
    assert second is not None
    assert holder.spend(0) is None
    holder.finish(first)
    holder.finish(first)  # the second call frees nothing
    assert holder.available(0) == 1
    assert holder.available(S) == 2, "the longest use has passed"


def test_answers_to_unknown_or_released_claims_are_ignored() -> None:
    holder = new_holder()
    sent_claim = holder.claim(0, 0)
    holder.handle_lease_answer(LeaseAnswer(0, sent_claim.number + 1, True), "x", 0)
    holder.handle_lease_answer(LeaseAnswer(1, sent_claim.number, True), "x", 0)
    holder.handle_lease_answer(LeaseAnswer(0, sent_claim.number, True), "unknown", 0)
    holder.handle_lease_answer(LeaseAnswer(0, sent_claim.number, False, "b", S), "y", 0)
    holder.handle_lease_answer(LeaseAnswer(0, sent_claim.number, True), "z", 0)
    assert holder.available(0) == 0
    holder.release(0, 0)
    for acceptor in ACCEPTORS:
        holder.handle_lease_answer(LeaseAnswer(0, sent_claim.number, True), acceptor, 0)
    assert holder.available(0) == 0


def test_a_release_older_than_the_last_claim_is_ignored() -> None:
    acceptor = Acceptor(RULES, -100 * S)
    assert acceptor.handle_claim(new_claim(0, 1), ME, 0).granted
    assert acceptor.handle_claim(new_claim(0, 2), ME, S).granted
    acceptor.handle_release(LeaseRelease(0, 1), ME)
    answer = acceptor.handle_claim(new_claim(0, 1), OTHER, S)
    assert not answer.granted
    assert answer.holder == "a"
    assert answer.wait_us == RULES.max_term_us
    acceptor.handle_release(LeaseRelease(0, 2), InstanceIncarnation("a", 2))
    assert not acceptor.handle_claim(new_claim(0, 1), OTHER, S).granted, (
        "the release of another incarnation is ignored"
    )
    acceptor.handle_release(LeaseRelease(0, 2), ME)
    assert acceptor.handle_claim(new_claim(0, 1), OTHER, S).granted


def test_an_acceptor_grants_a_slot_again_after_its_grant_and_never_an_unknown_slot() -> None:
    acceptor = Acceptor(RULES, -100 * S)
    assert acceptor.handle_claim(new_claim(0, 7), ME, 0).granted
    assert not acceptor.handle_claim(new_claim(0, 1), OTHER, RULES.max_term_us - 1).granted
    assert acceptor.handle_claim(new_claim(0, 1), OTHER, RULES.max_term_us).granted
    assert not acceptor.handle_claim(new_claim(4, 1), OTHER, 0).granted
    assert not acceptor.handle_claim(new_claim(-1, 1), ME, 0).granted
    assert len(acceptor.grants) == 1


def test_two_incarnations_of_one_instance_are_two_holders() -> None:
    acceptor = Acceptor(RULES, -100 * S)
    assert acceptor.handle_claim(new_claim(0, 9), InstanceIncarnation("a", 1), 0).granted
    assert not acceptor.handle_claim(new_claim(0, 1), InstanceIncarnation("a", 2), S).granted


def test_a_slot_with_spent_or_lent_permits_is_not_released() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    ticket = holder.spend(0)
    assert ticket is not None
    assert holder.release(0, 0) is None
    holder.finish(ticket)
    assert holder.handle_loan_request(LoanRequest(1, 1), OTHER, 1, 0) is not None
    assert holder.release(0, 0) is None
    holder.handle_loan_return(LoanReturn(1, 0), OTHER)
    assert holder.release(0, 0) == LeaseRelease(0, 1)


def test_a_repeated_loan_request_gets_the_same_loan_which_counts_once() -> None:
    lender, borrower = new_holder(), new_holder(OTHER)
    acquire(lender, 0, 0)
    loan_request = borrower.request_loan("a", 2, 0)
    loan_answer = lender.handle_loan_request(loan_request, OTHER, 9, S)
    assert loan_answer is not None
    assert loan_answer.count == 2
    assert lender.available(S) == 1
    assert lender.handle_loan_request(loan_request, OTHER, 9, 2 * S) == loan_answer
    assert lender.available(2 * S) == 1
    assert borrower.handle_loan_answer(loan_answer, "a", 2 * S)
    assert not borrower.handle_loan_answer(loan_answer, "a", 2 * S)
    assert borrower.available(2 * S) == 2
    end_us = borrower.loans[loan_answer.number].until_us
    assert end_us < S + loan_answer.term_us, "from the time of the request, shortened by the clock drift"
    assert lender.handle_loan_request(LoanRequest(loan_request.number - 1, 1), OTHER, 9, 2 * S) is None, (
        "an older request is ignored"
    )


def test_borrowed_permits_are_spent_first_and_returned() -> None:
    lender, borrower = new_holder(), new_holder(OTHER)
    acquire(lender, 0, 0)
    acquire(borrower, 3, 0)
    loan_answer = lender.handle_loan_request(borrower.request_loan("a", 2, 0), OTHER, 9, 0)
    assert loan_answer is not None
    assert borrower.handle_loan_answer(loan_answer, "a", 0)
    ticket = borrower.spend(0)
    assert ticket is not None
    assert ticket.borrowed
    assert borrower.return_loan(loan_answer.number, 0) == ("a", LoanReturn(loan_answer.number, 1))
    lender.handle_loan_return(LoanReturn(loan_answer.number, 1), OTHER)
    lender.handle_loan_return(LoanReturn(loan_answer.number, 2), OTHER)  # an older message that arrives late
    assert lender.available(0) == 2
    borrower.finish(ticket)
    assert borrower.return_loan(loan_answer.number, 0) == ("a", LoanReturn(loan_answer.number, 0))
    assert borrower.return_loan(loan_answer.number, 0) is None
    lender.handle_loan_return(LoanReturn(loan_answer.number, 0), OTHER)
    assert lender.available(0) == 3


def test_borrowed_permits_are_not_lent_on_and_loans_from_other_lenders_are_ignored() -> None:
    lender, borrower = new_holder(), new_holder(OTHER)
    acquire(lender, 0, 0)
    loan_answer = lender.handle_loan_request(borrower.request_loan("a", 2, 0), OTHER, 9, 0)
    assert loan_answer is not None
    assert not borrower.handle_loan_answer(loan_answer, "c", 0)
    loan_request = borrower.request_loan("a", 2, 0)
    second_answer = lender.handle_loan_request(loan_request, OTHER, 9, 0)
    assert second_answer is not None
    assert borrower.handle_loan_answer(second_answer, "a", 0)
    answer = borrower.handle_loan_request(LoanRequest(1, 1), InstanceIncarnation("c", 1), 9, 0)
    assert answer is not None
    assert answer.count == 0


def test_a_smaller_budget_applies_at_once_to_permits_that_are_spent_later() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    assert holder.spend(0)
    assert holder.spend(0)
    assert holder.available(0) == 1
    holder.reconfigure(LeaseRules(total=4, slots=4, lease_us=6 * S, max_use_us=S), [ACCEPTORS])
    assert holder.available(0) == 0
    assert holder.spend(0) is None
    assert holder.in_use(0) == 2
    assert holder.available(S) == 1


def test_another_number_of_slots_drops_all_and_grants_none_before_old_leases_have_ended() -> None:
    holder, acceptor = new_holder(), Acceptor(RULES, -100 * S)
    acquire(holder, 0, 0)
    assert acceptor.handle_claim(new_claim(0, 1), ME, 0).granted
    other = LeaseRules(total=10, slots=2, lease_us=3 * S, max_use_us=S)
    holder.reconfigure(other, [ACCEPTORS])
    acceptor.reconfigure(other, S)
    assert holder.available(0) == 0
    assert not acceptor.handle_claim(new_claim(0, 1, other), OTHER, RULES.max_term_us).granted
    assert acceptor.handle_claim(new_claim(0, 1, other), OTHER, S + RULES.max_term_us).granted


def test_claims_with_another_number_of_slots_or_a_longer_lease_are_refused() -> None:
    """Instances read a changed configuration file at different times."""
    acceptor = Acceptor(RULES, -100 * S)
    longer = LeaseRules(total=10, slots=4, lease_us=9 * S, max_use_us=S)
    assert not acceptor.handle_claim(new_claim(0, 1, longer), ME, 0).granted
    assert not acceptor.handle_claim(new_claim(0, 1, LeaseRules(10, 2, 6 * S, S)), ME, 0).granted
    acceptor.reconfigure(longer, 0)
    assert acceptor.handle_claim(new_claim(0, 1, longer), ME, 0).granted
    assert not acceptor.handle_claim(new_claim(0, 1), OTHER, RULES.max_term_us).granted, (
        "the grant lasts for the longer lease"
    )


def test_a_previous_longer_lease_is_respected_while_an_instance_may_use_it() -> None:
    shorter = LeaseRules(total=10, slots=4, lease_us=2 * S, max_use_us=S, previous_lease_us=6 * S)
    restarted = Acceptor(shorter, 0)  # a new process, which does not know what it granted before
    assert not restarted.handle_claim(new_claim(0, 1, shorter), ME, RULES.max_term_us - 1).granted
    assert restarted.handle_claim(new_claim(0, 1), ME, RULES.max_term_us).granted, (
        "a claim of an instance that has not read the change yet"
    )
    restarted.handle_claim(new_claim(0, 2, shorter), ME, RULES.max_term_us + 1)
    assert not restarted.handle_claim(new_claim(0, 1), OTHER, 2 * RULES.max_term_us - 1).granted, (
        "the longer grant holds"
    )


def test_spent_and_lent_permits_stay_counted_when_the_acceptors_change() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    assert holder.spend(0) is not None
    assert holder.handle_loan_request(LoanRequest(1, 1), OTHER, 1, 0) is not None
    holder.reconfigure(RULES, [("x", "y", "q")])
    assert holder.available(0) == 0
    acquire(holder, 0, 0, ("x", "y"))
    assert holder.available(0) == 1, "one is spent and one is lent"


def test_answers_to_borrowers_are_dropped_only_after_their_loans_have_ended() -> None:
    holder = new_holder()
    acquire(holder, 0, 0)
    for number in range(MAX_LOANS):
        assert (
            holder.handle_loan_request(LoanRequest(1, 1), InstanceIncarnation(f"b{number}", 1), 0, 0)
            is not None
        )
    assert (
        holder.handle_loan_request(
            LoanRequest(1, 1), InstanceIncarnation("late", 1), 1, RULES.max_term_us - 1
        )
        is None
    )
    assert (
        holder.handle_loan_request(LoanRequest(1, 1), InstanceIncarnation("late", 1), 1, RULES.max_term_us)
        is not None
    )


def test_both_groups_have_to_grant_while_acceptors_are_replaced() -> None:
    holder = LeaseHolder(RULES, ME, [("x", "y", "z"), ("p", "q", "r")])
    acquire(holder, 0, 0, ("x", "y", "z", "p"))
    assert holder.available(0) == 0
    acquire(holder, 0, 0, ("x", "y", "z", "p", "q"))
    assert holder.available(0) == 3


def test_each_instance_has_its_own_fixed_order_of_slots() -> None:
    orders = [sorted(range(50), key=lambda slot: rank("b", slot, f"i{number}")) for number in range(20)]
    assert orders[3] == sorted(range(50), key=lambda slot: rank("b", slot, "i3"))
    assert len({order[0] for order in orders}) >= 12
