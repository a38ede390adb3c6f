"""One virtual clock for all that is modelled: what is due runs by its time, then in the order it was made."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US  # what began long before the play lies before this


class Clock:
    """Time stands still while something runs, so a play is the same each time."""

    def __init__(self) -> None:
        self.now_us = START_US
        self.due: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.made = 0
        self.ran = 0  # events so far

    def at(self, at_us: int, what: Callable[..., None], *arguments: object) -> None:
        """Run this then; what lies in the past runs next."""
        self.made += 1
        heapq.heappush(self.due, (max(at_us, self.now_us), self.made, what, arguments))

    def after(self, after_us: int, what: Callable[..., None], *arguments: object) -> None:
        """Call `what` with the arguments once `after_us` have passed on this clock."""
        self.at(self.now_us + after_us, what, *arguments)

    def run(self, until_us: int) -> None:
        """All that is due by then."""
        while self.due and self.due[0][0] <= until_us:
            self.now_us, _, what, arguments = heapq.heappop(self.due)
            self.ran += 1
            what(*arguments)
        self.now_us = until_us

    @property
    def play_us(self) -> int:
        """Since the play began."""
        return self.now_us - START_US
