"""Versions of sources: when subscribers are notified, how often files are scanned, the digest in force."""

from __future__ import annotations

from plovertrail.decisions.list_versions import (
    MAX_DRAIN_DETECTION_US,
    SCAN_PERIOD_US,
    AcceptedContent,
    ReadState,
    ScanSchedule,
    SourceKey,
    SourceVersion,
)


def test_subscribers_are_notified_of_changes_only() -> None:
    version = SourceVersion(SourceKey("/a"))
    assert version.list_accepted(1, "d1", 9, True, 10)
    assert version.generation == 1
    assert not version.list_accepted(1, "d1", 9, False, 20)
    assert (version.generation, version.changed_us) == (
        1,
        10,
    )
    assert version.read_us == 20
    assert version.list_rejected("torn", 30)
    assert not version.list_rejected("torn", 40)
    assert version.list_rejected("empty", 50)
    assert version.generation == 3
    assert version.digest == "d1"
    assert version.list_accepted(1, "d1", 9, False, 60)  # accepted again, with the same content
    assert (version.generation, version.problem) == (4, "")


def test_a_hang_and_its_end_are_each_reported_once() -> None:
    version = SourceVersion(SourceKey("/a"))
    version.list_accepted(0, "d", 1, True, 10)
    assert version.read_hangs(False, 20)
    assert "not tried" in version.problem
    assert version.read_hangs(True, 30)
    assert not version.read_hangs(True, 40)
    assert version.is_hung
    assert version.hung_since_us == 20
    assert version.problem == "a read of it hangs"
    version.not_settled(50)
    assert not version.is_hung
    assert version.hung_since_us is None
    assert not version.problem
    assert version.list_accepted(0, "d", 1, False, 60)
    assert version.generation == 4


def test_content_that_does_not_settle_keeps_the_last_reported_state() -> None:
    version = SourceVersion(SourceKey("/a"))
    version.not_settled(5)
    assert (version.state, version.generation) == (ReadState.UNSETTLED, 0)
    version.list_accepted(0, "d", 1, True, 10)
    version.not_settled(20)
    assert (version.state, version.generation) == (ReadState.GOOD, 1)


def test_scans_over_their_cpu_budget_run_less_often_and_count_as_too_slow() -> None:
    schedule = ScanSchedule()
    schedule.scan_ended(2_000, 4_000)  # 200 files
    assert schedule.period_us == SCAN_PERIOD_US
    assert not schedule.too_slow
    schedule.scan_ended(15_000, 20_000)
    assert schedule.period_us == 1_500_000
    assert not schedule.too_slow
    schedule.scan_ended(100_000, 120_000)  # 10,000 files
    assert schedule.period_us == 10_000_000
    assert schedule.too_slow
    assert schedule.detection_us == 10_120_000 > MAX_DRAIN_DETECTION_US
    schedule.scan_ended(2_000, 1_500_000)  # a slow disk: little CPU time, but a late detection
    assert schedule.period_us == SCAN_PERIOD_US
    assert schedule.too_slow
    schedule.scan_ended(2_000, 4_000)
    assert not schedule.too_slow


def test_the_digest_in_force_is_independent_of_order_and_covers_each_part() -> None:
    one, other = AcceptedContent(), AcceptedContent()
    parts = [("p", SourceKey("/a"), "1"), ("q", SourceKey("/a"), "1"), ("p", SourceKey("/b"), "2")]
    for part in parts:
        one.accept(*part)
    for part in reversed(parts):
        other.accept(*part)
    one.use_configuration("s")
    other.use_configuration("s")
    assert one.digest() == other.digest()
    assert one.generation == 4
    one.accept(*parts[0])
    one.use_configuration("s")
    assert one.generation == 4  # nothing has changed
    digests = {one.digest()}
    one.accept("q", SourceKey("/a"), "3")  # one pool has accepted what the other rejects
    digests.add(one.digest())
    one.use_configuration("t")
    digests.add(one.digest())
    one.drop("q", SourceKey("/a"))
    digests.add(one.digest())
    assert len(digests) == 4
    assert one.generation == 7
