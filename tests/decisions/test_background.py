"""Background tasks: budget, priorities and maximum delays, on a virtual clock."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.background import MAX_BALANCE_US, BackgroundScheduler, BackgroundTask, Priority

SECOND = 1_000_000
LISTS = BackgroundTask("lists", Priority.LISTS, 250_000, 500_000, 0.02)
STATE = BackgroundTask("state", Priority.STATE, 1 * SECOND, 10 * SECOND, 0.005)
REPORTS = BackgroundTask("reports", Priority.REPORTS, 10 * SECOND, 60 * SECOND, 0.01)


class SimulatedLoop:
    """An event loop on a virtual clock; `took` gives the durations of a task's slices."""

    def __init__(
        self, *tasks: BackgroundTask, took: dict[str, list[int]] | None = None, lag_us: int = 0
    ) -> None:
        self.now_us = 0
        self.background = BackgroundScheduler(0)
        self.took = took or {}
        self.lag_us = lag_us
        self.ran: list[tuple[int, str]] = []
        self.slices_left = {task.name: 0 for task in tasks}
        for task in tasks:
            self.background.add(task, 0)

    def run_until(self, end_us: int) -> None:
        iterations = 0
        while True:
            at_us = self.background.next_check_us(self.now_us, self.lag_us)
            assert at_us is not None
            if at_us >= end_us:
                self.now_us = end_us
                return
            iterations += 1
            assert iterations < 200_000, "too many iterations in which nothing runs"
            self.now_us = max(self.now_us + 1, at_us)
            name = self.background.next_task(self.now_us, self.lag_us)
            if name is not None:
                self.ran.append((self.now_us, name))
                slices = self.took.get(name, [100])
                self.slices_left[name] = (self.slices_left[name] or len(slices)) - 1
                took_us = slices[len(slices) - 1 - self.slices_left[name]]
                self.now_us += took_us
                self.background.slice_ended(name, took_us, self.slices_left[name] == 0, self.now_us)

    def start_times_us(self, name: str) -> list[int]:
        return [at_us for at_us, each in self.ran if each == name]


def test_tasks_run_at_their_intervals_by_priority() -> None:
    loop = SimulatedLoop(REPORTS, STATE, LISTS)
    loop.run_until(30 * SECOND)
    assert [name for _, name in loop.ran[:3]] == ["lists", "state", "reports"]
    assert 115 <= len(loop.start_times_us("lists")) <= 120
    assert 29 <= len(loop.start_times_us("state")) <= 30
    assert len(loop.start_times_us("reports")) == 3


def test_a_long_run_stays_within_its_fraction_of_the_loop() -> None:
    # a run of 0.1 s takes 20 s at 0.005 of the loop
    loop = SimulatedLoop(STATE, took={"state": [500] * 200})
    loop.run_until(200 * SECOND)
    took_us = loop.background.tasks["state"].used_us
    assert 0.9 * 0.0045 * 200 * SECOND < took_us <= 0.005 * 200 * SECOND + 500
    gaps = [
        b - a for a, b in zip(loop.start_times_us("state"), loop.start_times_us("state")[1:], strict=False)
    ]
    assert min(gaps) >= 500 / 0.005


def test_on_a_busy_loop_a_task_waits_at_most_its_maximum_delay() -> None:
    loop = SimulatedLoop(LISTS, STATE, REPORTS, took={"state": [300] * 5}, lag_us=50_000)
    loop.run_until(300 * SECOND)
    for task in (LISTS, STATE, REPORTS):
        state = loop.background.tasks[task.name]
        assert state.slices, task.name
        assert state.longest_wait_us <= task.max_delay_us + 100_000, task.name
    assert loop.start_times_us("lists")[0] >= LISTS.max_delay_us  # it was postponed


def test_after_a_pause_of_the_process_overdue_tasks_run_with_pauses_between() -> None:
    tasks = [BackgroundTask(f"w{n}", Priority.STATE, SECOND, SECOND, 0.01) for n in range(30)]
    loop = SimulatedLoop(*tasks)
    loop.now_us = 60 * SECOND  # after a pause of the process all tasks are overdue
    loop.run_until(60 * SECOND + 200_000)
    starts = [at_us for at_us, _ in loop.ran][:30]
    assert {name for _, name in loop.ran[:30]} == {task.name for task in tasks}
    assert min(b - a for a, b in zip(starts, starts[1:], strict=False)) >= 2_000


def test_updating_a_task_or_making_it_due_moves_its_run_forward() -> None:
    background = BackgroundScheduler(0)
    background.add(REPORTS, 0, first_us=9 * SECOND)
    assert background.next_task(SECOND) is None
    assert background.next_check_us(SECOND) == 9 * SECOND
    background.add(BackgroundTask("reports", Priority.REPORTS, 2 * SECOND, SECOND, 0.01), SECOND)
    assert background.next_check_us(SECOND) == 3 * SECOND
    background.make_due("reports", 2 * SECOND)
    assert background.next_task(2 * SECOND) == "reports"
    background.remove("reports")
    background.slice_ended("reports", 10, True, 2 * SECOND)  # a task that was removed during its slice
    assert background.next_check_us(2 * SECOND) is None


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(Priority)),
            st.integers(10_000, 5 * SECOND),
            st.integers(10_000, 20 * SECOND),
            st.floats(0.001, 0.05),
            st.lists(st.integers(1, 5_000), min_size=1, max_size=6),
        ),
        min_size=1,
        max_size=6,
    ),
    st.sampled_from([0, 20_000]),
)
def test_no_task_starves_or_exceeds_its_budget(
    drawn: list[tuple[Priority, int, int, float, list[int]]], lag_us: int
) -> None:
    tasks = [
        BackgroundTask(f"w{n}", priority, interval_us, max_delay_us, loop_fraction)
        for n, (priority, interval_us, max_delay_us, loop_fraction, _) in enumerate(drawn)
    ]
    loop = SimulatedLoop(*tasks, took={f"w{n}": took for n, (*_, took) in enumerate(drawn)}, lag_us=lag_us)
    loop.run_until(40 * SECOND)
    longest_us = max(us for *_, took in drawn for us in took)
    # overdue tasks wait for at most one slice and one pause of each other task
    tolerance_us = (len(tasks) + 1) * (longest_us + 2_000) * 2 + 60_000
    for task in tasks:
        state = loop.background.tasks[task.name]
        waits_us = max(state.longest_wait_us, loop.now_us - max(state.due_us, state.waiting_since_us))
        assert waits_us <= task.max_delay_us + tolerance_us
    if not lag_us and all(task.max_delay_us > 10 * SECOND for task in tasks):
        took_us = sum(state.used_us for state in loop.background.tasks.values())
        assert took_us <= 0.05 * 40 * SECOND + MAX_BALANCE_US + longest_us or any(
            state.longest_wait_us >= state.task.max_delay_us for state in loop.background.tasks.values()
        )
