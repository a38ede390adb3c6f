"""Recovery phases of an instance, and detection of a paused process."""

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

SECOND = 1_000_000


def fully_recovered(*sources: str) -> RecoveryState:
    recovery = RecoveryState(0)
    for source in sources:
        recovery.source_read(source, "", 0)
    recovery.follow_sources(sources, 10)
    assert recovery.phase is Phase.FULL
    return recovery


def test_a_wait_counts_as_a_pause_only_beyond_the_threshold() -> None:
    detector = StallDetector(0)
    assert detector.before_wait(1000, 250_000) == 0
    assert detector.after_wait(251_000 + PAUSE_THRESHOLD_US) == 0  # as on a busy machine
    assert detector.before_wait(800_000, 250_000) == 0
    assert detector.after_wait(5 * SECOND) == 5 * SECOND - 1_050_000


def test_a_paused_iteration_is_stale_and_is_reported_at_its_end() -> None:
    detector = StallDetector(0)
    detector.before_wait(0, 0)
    detector.after_wait(0)
    assert not detector.turn_is_stale(PAUSE_THRESHOLD_US)
    assert detector.turn_is_stale(PAUSE_THRESHOLD_US + 1)
    assert detector.before_wait(4 * SECOND, 1000) == 4 * SECOND


def test_nothing_is_sent_until_all_sources_are_read_again() -> None:
    recovery = fully_recovered("a", "b")
    assert recovery.may_send
    assert recovery.last_recovery_us == 10
    recovery.process_paused(4 * SECOND, ["a", "b"], 5 * SECOND)
    assert recovery.phase is Phase.CATCHING_UP
    assert not recovery.may_send
    recovery.source_read("a", "", 5 * SECOND + 10)
    assert not recovery.may_send
    recovery.source_read("b", "", 5 * SECOND + 20_000)
    assert not recovery.may_send  # a drain command may still be unread on a socket
    recovery.end_catch_up(5 * SECOND + 30_000)
    assert recovery.phase is Phase.FULL
    assert recovery.last_recovery_us == 30_000
    assert recovery.pauses == 1
    assert recovery.longest_pause_us == 4 * SECOND


def test_an_unreadable_source_counts_as_failed_and_the_others_serve() -> None:
    recovery = fully_recovered("a", "b")
    recovery.process_paused(SECOND, ["a", "b"], 2 * SECOND)
    recovery.source_read("a", "", 2 * SECOND)
    assert recovery.catch_up_deadline_us == 2 * SECOND + CATCH_UP_TIMEOUT_US
    recovery.end_catch_up(3 * SECOND)
    assert recovery.phase.value == "serving in part"
    assert list(recovery.failed_sources) == ["b"]
    recovery.source_read("b", "", 9 * SECOND)
    assert recovery.phase is Phase.FULL
    assert recovery.last_recovery_us == 7 * SECOND


def test_an_unusable_list_ends_the_full_phase_until_its_source_is_dropped() -> None:
    recovery = fully_recovered("a", "b")
    recovery.source_read("b", "half written", 2 * SECOND)
    assert recovery.phase.value == "serving in part"
    assert recovery.phase_since_us == 2 * SECOND
    recovery.follow_sources(["a"], 3 * SECOND)
    assert recovery.phase is Phase.FULL
    assert not recovery.failed_sources


def test_nothing_is_sent_before_the_configuration_is_complete() -> None:
    recovery = RecoveryState(0)
    recovery.source_read("a", "", 5)
    assert recovery.phase is Phase.STARTING
    assert not recovery.may_send


SOURCES = st.sampled_from("abc")
STEP = st.one_of(
    st.tuples(st.just("read"), SOURCES, st.sampled_from(["", "it is empty"])),
    st.tuples(st.just("pause"), st.integers(PAUSE_THRESHOLD_US, 100 * SECOND)),
    st.tuples(st.just("catch_up_end")),
    st.tuples(st.just("follow"), st.sets(SOURCES)),
)


@given(st.lists(STEP, max_size=30))
def test_requests_are_sent_only_without_pending_sources_and_always_resume(
    steps: list[tuple[object, ...]],
) -> None:
    recovery, now_us, listed = RecoveryState(0), 0, {"a", "b", "c"}
    recovery.follow_sources(listed, 0)
    for step, *rest in steps:
        now_us += SECOND
        if step == "read":
            recovery.source_read(str(rest[0]), str(rest[1]), now_us)
        elif step == "pause":
            recovery.process_paused(int(str(rest[0])), listed, now_us)
            assert not recovery.may_send
        elif step == "follow":
            listed = rest[0]  # type: ignore[assignment]
            recovery.follow_sources(listed, now_us)
        else:
            recovery.end_catch_up(now_us)
            assert recovery.may_send
        assert not (recovery.may_send and recovery.pending_sources)
        assert not recovery.may_send or (recovery.phase is Phase.FULL) == (not recovery.failed_sources)
