"""Phases of an instance, and how a paused process is told from an idle one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.recovery import (
    CATCH_UP_TIMEOUT_US,
    PAUSE_THRESHOLD_US,
    Phase,
    RecoveryState,
    StallDetector,
)

S = 1_000_000


def full(*sources: str) -> RecoveryState:
    recovery = RecoveryState(0)
    for source in sources:
        recovery.source_read(source, "", 0)
    recovery.follow_sources(sources, 10)
    assert recovery.phase is Phase.FULL
    return recovery


def test_an_idle_wait_is_no_pause_and_a_longer_one_is() -> None:
    detector = StallDetector(0)
    assert detector.before_wait(1000, 250_000) == 0
    assert detector.after_wait(251_000 + PAUSE_THRESHOLD_US) == 0  # a machine that is busy
    assert detector.before_wait(800_000, 250_000) == 0
    assert detector.after_wait(5 * S) == 5 * S - 1_050_000


def test_a_paused_turn_is_stale_while_it_lasts_and_reported_at_its_end() -> None:
    detector = StallDetector(0)
    detector.before_wait(0, 0)
    detector.after_wait(0)
    assert not detector.turn_is_stale(PAUSE_THRESHOLD_US)
    assert detector.turn_is_stale(PAUSE_THRESHOLD_US + 1)
    assert detector.before_wait(4 * S, 1000) == 4 * S


def test_nothing_is_sent_until_all_sources_are_read_again() -> None:
    recovery = full("a", "b")
    assert recovery.may_send
    assert recovery.last_recovery_us == 10
    recovery.process_paused(4 * S, ["a", "b"], 5 * S)
    assert recovery.phase is Phase.CATCHING_UP
    assert not recovery.may_send
    recovery.source_read("a", "", 5 * S + 10)
    assert not recovery.may_send
    recovery.source_read("b", "", 5 * S + 20_000)
    assert not recovery.may_send  # a call for a drain may still lie on a socket
    recovery.end_catch_up(5 * S + 30_000)
    assert recovery.phase is Phase.FULL
    assert recovery.last_recovery_us == 30_000
    assert recovery.pauses == 1
    assert recovery.longest_pause_us == 4 * S


def test_a_source_that_can_not_be_read_has_failed_and_the_rest_serves() -> None:
    recovery = full("a", "b")
    recovery.process_paused(S, ["a", "b"], 2 * S)
    recovery.source_read("a", "", 2 * S)
    assert recovery.catch_up_deadline_us == 2 * S + CATCH_UP_TIMEOUT_US
    recovery.end_catch_up(3 * S)
    assert recovery.phase.value == "serving in part"
    assert list(recovery.failed_sources) == ["b"]
    recovery.source_read("b", "", 9 * S)
    assert recovery.phase is Phase.FULL
    assert recovery.last_recovery_us == 7 * S


def test_an_unusable_list_ends_the_full_phase_until_the_configuration_drops_it() -> None:
    recovery = full("a", "b")
    recovery.source_read("b", "half written", 2 * S)
    assert recovery.phase.value == "serving in part"
    assert recovery.phase_since_us == 2 * S
    recovery.follow_sources(["a"], 3 * S)
    assert recovery.phase is Phase.FULL
    assert not recovery.failed_sources


def test_nothing_is_sent_before_the_configuration_is_complete() -> None:
    recovery = RecoveryState(0)
    recovery.source_read("a", "", 5)
    assert recovery.phase is Phase.STARTING
    assert not recovery.may_send


SOURCES = st.sampled_from("abc")
STEP = st.one_of(
    st.tuples(st.just("told"), SOURCES, st.sampled_from(["", "it is empty"])),
    st.tuples(st.just("gap"), st.integers(PAUSE_THRESHOLD_US, 100 * S)),
    st.tuples(st.just("time")),
    st.tuples(st.just("setup"), st.sets(SOURCES)),
)


@given(st.lists(STEP, max_size=30))
def test_in_any_order_it_sends_only_with_no_pending_source_and_is_never_suspended_for_good(
    steps: list[tuple[object, ...]],
) -> None:
    recovery, now_us, listed = RecoveryState(0), 0, {"a", "b", "c"}
    recovery.follow_sources(listed, 0)
    for what, *rest in steps:
        now_us += S
        if what == "told":
            recovery.source_read(str(rest[0]), str(rest[1]), now_us)
        elif what == "gap":
            recovery.process_paused(int(str(rest[0])), listed, now_us)
            assert not recovery.may_send
        elif what == "setup":
            listed = rest[0]  # type: ignore[assignment]
            recovery.follow_sources(listed, now_us)
        else:
            recovery.end_catch_up(now_us)
            assert recovery.may_send
        assert not (recovery.may_send and recovery.pending_sources)
        assert not recovery.may_send or (recovery.phase is Phase.FULL) == (not recovery.failed_sources)
