"""Background tasks: their budget, priorities and longest delays, on a virtual clock."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.background import MAX_BALANCE_US, BackgroundScheduler, BackgroundTask, Priority

S = 1_000_000
LISTS = BackgroundTask("lists", Priority.LISTS, 250_000, 500_000, 0.02)
STATE = BackgroundTask("state", Priority.STATE, 1 * S, 10 * S, 0.005)
REPORTS = BackgroundTask("reports", Priority.REPORTS, 10 * S, 60 * S, 0.01)


class Loop:
    """An event loop whose turns come when they are scheduled; slices take what `took` says."""

    def __init__(
        self, *tasks: BackgroundTask, took: dict[str, list[int]] | None = None, lag_us: int = 0
    ) -> None:
        self.now_us = 0
        self.background = BackgroundScheduler(0)
        self.took = took or {}
        self.lag_us = lag_us
        self.ran: list[tuple[int, str]] = []
        self.left = {task.name: 0 for task in tasks}
        for task in tasks:
            self.background.add(task, 0)

    def until(self, end_us: int) -> None:
        turns = 0
        while True:
            at_us = self.background.next_check_us(self.now_us, self.lag_us)
            assert at_us is not None
            if at_us >= end_us:
                self.now_us = end_us
                return
            turns += 1
            assert turns < 200_000, "it asks for turns in which nothing runs"
            self.now_us = max(self.now_us + 1, at_us)
            name = self.background.next_task(self.now_us, self.lag_us)
            if name is not None:
                self.ran.append((self.now_us, name))
                slices = self.took.get(name, [100])
                self.left[name] = (self.left[name] or len(slices)) - 1
                took_us = slices[len(slices) - 1 - self.left[name]]
                self.now_us += took_us
                self.background.slice_ended(name, took_us, self.left[name] == 0, self.now_us)

    def times(self, name: str) -> list[int]:
        return [at_us for at_us, each in self.ran if each == name]


def test_each_task_runs_at_its_interval_by_priority() -> None:
    loop = Loop(REPORTS, STATE, LISTS)
    loop.until(30 * S)
    assert [name for _, name in loop.ran[:3]] == ["lists", "state", "reports"]
    assert 115 <= len(loop.times("lists")) <= 120
    assert 29 <= len(loop.times("state")) <= 30
    assert len(loop.times("reports")) == 3


def test_a_long_run_never_has_more_than_its_fraction_of_the_loop() -> None:
    loop = Loop(STATE, took={"state": [500] * 200})  # 0.1 s of work: at 0.005 of the loop, 20 s
    loop.until(200 * S)
    took_us = loop.background.tasks["state"].used_us
    assert 0.9 * 0.0045 * 200 * S < took_us <= 0.005 * 200 * S + 500
    gaps = [b - a for a, b in zip(loop.times("state"), loop.times("state")[1:], strict=False)]
    assert min(gaps) >= 500 / 0.005


def test_on_a_busy_loop_a_task_waits_for_its_longest_delay_at_most() -> None:
    loop = Loop(LISTS, STATE, REPORTS, took={"state": [300] * 5}, lag_us=50_000)
    loop.until(300 * S)
    for task in (LISTS, STATE, REPORTS):
        state = loop.background.tasks[task.name]
        assert state.slices, task.name
        assert state.longest_wait_us <= task.max_delay_us + 100_000, task.name
    assert loop.times("lists")[0] >= LISTS.max_delay_us  # it did wait


def test_after_a_pause_of_the_process_overdue_tasks_run_one_by_one_with_turns_between() -> None:
    tasks = [BackgroundTask(f"w{n}", Priority.STATE, S, S, 0.01) for n in range(30)]
    loop = Loop(*tasks)
    loop.now_us = 60 * S  # the process was paused; all are due, and overdue
    loop.until(60 * S + 200_000)
    starts = [at_us for at_us, _ in loop.ran][:30]
    assert {name for _, name in loop.ran[:30]} == {task.name for task in tasks}
    assert min(b - a for a, b in zip(starts, starts[1:], strict=False)) >= 2_000


def test_an_updated_task_and_one_made_due_run_earlier() -> None:
    background = BackgroundScheduler(0)
    background.add(REPORTS, 0, first_us=9 * S)
    assert background.next_task(S) is None
    assert background.next_check_us(S) == 9 * S
    background.add(BackgroundTask("reports", Priority.REPORTS, 2 * S, S, 0.01), S)
    assert background.next_check_us(S) == 3 * S
    background.make_due("reports", 2 * S)
    assert background.next_task(2 * S) == "reports"
    background.remove("reports")
    background.slice_ended("reports", 10, True, 2 * S)  # one that was removed in its own slice
    assert background.next_check_us(2 * S) is None


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(Priority)),
            st.integers(10_000, 5 * S),
            st.integers(10_000, 20 * S),
            st.floats(0.001, 0.05),
            st.lists(st.integers(1, 5_000), min_size=1, max_size=6),
        ),
        min_size=1,
        max_size=6,
    ),
    st.sampled_from([0, 20_000]),
)
def test_no_task_starves_and_none_exceeds_its_budget(
    drawn: list[tuple[Priority, int, int, float, list[int]]], lag_us: int
) -> None:
    tasks = [
        BackgroundTask(f"w{n}", priority, every, latest, share)
        for n, (priority, every, latest, share, _) in enumerate(drawn)
    ]
    loop = Loop(*tasks, took={f"w{n}": took for n, (*_, took) in enumerate(drawn)}, lag_us=lag_us)
    loop.until(40 * S)
    longest_us = max(us for *_, took in drawn for us in took)
    # overdue ones wait for each other at most: one slice each, and the pause behind it
    room_us = (len(tasks) + 1) * (longest_us + 2_000) * 2 + 60_000
    for task in tasks:
        state = loop.background.tasks[task.name]
        waits_us = max(state.longest_wait_us, loop.now_us - max(state.due_us, state.waiting_since_us))
        assert waits_us <= task.max_delay_us + room_us
    if not lag_us and all(task.max_delay_us > 10 * S for task in tasks):
        took_us = sum(state.used_us for state in loop.background.tasks.values())
        assert took_us <= 0.05 * 40 * S + MAX_BALANCE_US + longest_us or any(
            state.longest_wait_us >= state.task.max_delay_us for state in loop.background.tasks.values()
        )
