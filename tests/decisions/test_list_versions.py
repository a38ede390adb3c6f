"""What is known of each file: when subscribers are told, how often files are looked at, what is in force."""

from __future__ import annotations

from plovertrail.decisions.list_versions import (
    MAX_DRAIN_DETECTION_US,
    SCAN_PERIOD_US,
    InForce,
    ReadState,
    ScanSchedule,
    SourceKey,
    SourceVersion,
)


def test_subscribers_are_told_of_what_is_new_and_of_nothing_else() -> None:
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
    assert version.list_accepted(1, "d1", 9, False, 60)  # good again, though the same as before
    assert (version.generation, version.problem) == (4, "")


def test_a_hang_is_told_once_and_its_end_as_well() -> None:
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


def test_what_does_not_settle_keeps_what_was_told_last() -> None:
    version = SourceVersion(SourceKey("/a"))
    version.not_settled(5)
    assert (version.state, version.generation) == (ReadState.UNSETTLED, 0)
    version.list_accepted(0, "d", 1, True, 10)
    version.not_settled(20)
    assert (version.state, version.generation) == (ReadState.GOOD, 1)


def test_scans_that_cost_more_than_their_share_of_a_core_come_less_often_and_that_is_loud() -> None:
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
    schedule.scan_ended(2_000, 1_500_000)  # a disk that is slow costs no core, and is late all the same
    assert schedule.period_us == SCAN_PERIOD_US
    assert schedule.too_slow
    schedule.scan_ended(2_000, 4_000)
    assert not schedule.too_slow


def test_the_digest_of_all_in_force_is_the_same_in_any_order_and_tells_each_part() -> None:
    one, other = InForce(), InForce()
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
    one.accept("q", SourceKey("/a"), "3")  # one pool has taken what the other refuses
    digests.add(one.digest())
    one.use_configuration("t")
    digests.add(one.digest())
    one.drop("q", SourceKey("/a"))
    digests.add(one.digest())
    assert len(digests) == 4
    assert one.generation == 7
