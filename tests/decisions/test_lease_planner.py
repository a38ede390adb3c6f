"""The lease planner: the budget holds under faults, and permits follow demand."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.lease_model import Model, Plan
from plovertrail.decisions.lease_planner import LeasePlanner
from plovertrail.decisions.leases import InstanceIncarnation, LeaseAnswer, LeaseRules, LoanAnswer, LoanRequest
from plovertrail.simulation.clock import SECOND_US

S = SECOND_US
RULES = LeaseRules(total=60, slots=20, lease_us=3 * S, max_use_us=S // 2)
PLAN = Plan(instances=10, rules=RULES, requests_per_s=300.0, mean_request_us=80_000)


def settled_model(plan: Plan = PLAN, seed: int = 1) -> Model:
    """Return a model in which the instances have acquired the budget."""
    model = Model(plan, seed)
    model.run(5.0)
    model.reset_counts()
    return model


def test_after_a_start_nothing_is_spent_for_a_lease_and_then_the_whole_budget_is_held() -> None:
    model = Model(PLAN)
    model.run(RULES.lease_us / S)
    assert model.admitted == 0 < model.requests, "acceptors that have just started grant nothing"
    model.run(2.0)
    assert sum(len(each.planner.holder.held_slots(each.now())) for each in model.members) == RULES.slots


def test_even_demand_is_admitted_almost_as_with_a_central_count() -> None:
    model = settled_model()
    model.run(5.0)
    assert model.peak_in_use <= RULES.total
    assert model.admitted >= 0.85 * model.ideal


def test_shifting_demand_is_admitted_far_more_than_with_fixed_shares() -> None:
    model = settled_model(replace(PLAN, even_demand=False, hot_instances=1, demand_shift_s=4.0))
    model.run(8.0)
    assert model.peak_in_use <= RULES.total
    assert model.admitted > 1.5 * model.fixed


def test_each_half_of_a_split_network_continues_with_the_permits_it_holds() -> None:
    model = settled_model()
    model.split([[0, 2, 4, 6, 8], [1, 3, 5, 7, 9]])
    model.run(1.0)
    model.reset_counts()
    model.run(6.0)
    assert model.peak_in_use <= RULES.total
    # The half with two of the five acceptors cannot renew its leases.
    minority = [model.members[number] for number in (1, 3, 5, 7, 9)]
    assert all(not each.planner.holder.held_slots(each.now()) for each in minority)
    assert sum(each.planner.holder.in_use(each.now()) for each in model.members) > 0
    model.heal()
    model.run(6.0)
    assert model.peak_in_use <= RULES.total
    assert all(each.planner.permits_held(each.now()) > 0 for each in model.members)


def test_permits_of_killed_instances_return_after_their_leases_and_not_before() -> None:
    model = settled_model()
    model.kill(range(5, 10))
    held = sum(
        len(model.members[number].planner.holder.held_slots(model.members[number].now()))
        for number in range(5)
    )
    model.run(1.0)
    now_held = sum(len(each.planner.holder.held_slots(each.now())) for each in model.members[:5])
    assert now_held <= held < RULES.slots
    for _ in range(12):
        model.members[0].planner.peak = 40.0  # its demand
        model.run(0.5)
    assert sum(len(each.planner.holder.held_slots(each.now())) for each in model.members[:5]) == RULES.slots
    assert model.peak_in_use <= RULES.total


def test_an_instance_paused_past_its_leases_loses_them_and_recovers() -> None:
    model = settled_model()
    model.pause([7])
    model.run(5.0)
    assert model.members[7].planner.holder.available(model.members[7].now()) == 0
    model.resume([7])
    model.run(3.0)
    assert model.members[7].planner.permits_held(model.members[7].now()) > 0
    assert model.peak_in_use <= RULES.total


fault_lists = st.lists(
    st.tuples(st.sampled_from(["kill", "pause", "split", "heal"]), st.integers(0, 9), st.integers(1, 12)),
    min_size=1,
    max_size=6,
)


@settings(max_examples=12, deadline=None, derandomize=True)
@given(fault_lists, st.sampled_from([0.0, 0.3]), st.integers(0, 1_000))
def test_random_faults_never_overspend_the_budget_and_it_recovers_afterwards(
    faults: list[tuple[str, int, int]], loss: float, seed: int
) -> None:
    model = Model(replace(PLAN, loss=loss, even_demand=False, hot_instances=2), seed)
    model.run(4.0)
    for fault, number, quarters in faults:
        affected = {number, (number * 3 + 1) % 10, (number * 7 + 2) % 10}
        if fault == "split":
            model.split(
                [[each for each in range(10) if (each in affected) is part] for part in (True, False)]
            )
        elif fault == "heal":
            model.heal()
        elif fault == "kill":
            model.kill(affected)
        else:
            model.pause(affected)
        model.run(quarters / 4)
        if fault == "kill":
            model.start(affected)
        elif fault == "pause":
            model.resume(affected)
        assert model.peak_in_use <= RULES.total
    model.heal()
    model.run(2 * RULES.lease_us / S + 2.0)
    model.reset_counts()
    model.run(3.0)
    assert model.peak_in_use <= RULES.total
    assert model.admitted > 0.3 * model.ideal, "the instances spend permits again"


# A single planner


def new_planner(members: int = 4) -> LeasePlanner:
    names = [f"i{number}" for number in range(members)]
    return LeasePlanner(
        "b", RULES, InstanceIncarnation("i0", 1), [("i1", "i2", "i3")], lambda: names, random.Random(1), 0
    )


def grant_claims(planner: LeasePlanner, now_us: int) -> None:
    """Run the planner, and grant all that it claims."""
    for out in planner.tick(now_us):
        message = out.message
        if hasattr(message, "slot"):
            planner.handle_message(
                LeaseAnswer(message.slot, message.number, True), InstanceIncarnation(out.to, 1), now_us
            )


def test_an_idle_instance_claims_its_even_share_and_no_more() -> None:
    planner = new_planner()
    for step in range(60):
        grant_claims(planner, step * S // 20)
    assert planner.permits_held(3 * S) == planner.even_share() == 15


def test_an_instance_lends_what_it_does_not_need() -> None:
    planner = new_planner()
    for step in range(60):
        grant_claims(planner, step * S // 20)
    now_us = 3 * S
    for _ in range(8):
        assert planner.spend(now_us) is not None
    kept = planner.permits_wanted(now_us)
    lent = 0
    for number in range(1, 9):
        for out in planner.handle_message(LoanRequest(number, 5), InstanceIncarnation("i9", 1), now_us):
            assert isinstance(out.message, LoanAnswer)
            assert out.to == "i9"
            lent += out.message.count
    assert lent == 15 - kept
    assert planner.permits_held(now_us) == kept


def test_a_loan_request_without_an_answer_is_repeated_under_its_number() -> None:
    planner = new_planner()
    sent: Counter[int] = Counter()
    for step in range(60):
        planner.peak = 50.0
        for out in planner.tick(step * S // 100):
            if isinstance(out.message, LoanRequest) and out.to == "i1":
                sent[out.message.number] += 1
    assert len(sent) >= 2, "another request follows it"
    assert all(count == 3 for count in list(sent.values())[:-1])


@pytest.mark.parametrize("loss", [0.0, 0.5])
def test_the_messages_of_an_instance_are_bounded_under_overload(loss: float) -> None:
    model = settled_model(replace(PLAN, requests_per_s=2_000.0, loss=loss))
    sent = [each.sent for each in model.members]
    model.run(3.0)
    assert max(each.sent - before for each, before in zip(model.members, sent, strict=True)) < 3 * 1_000
    assert all(
        len(each.planner.pending_loans) <= 6 and len(each.planner.return_repeats) < 200
        for each in model.members
    )
