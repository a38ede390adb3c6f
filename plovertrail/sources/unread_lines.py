"""The lines of discovery's watches that wait for their turn."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import Generic, TypeVar

WatchT = TypeVar("WatchT")


@dataclass(frozen=True, slots=True, eq=False)
class UnreadLine(Generic[WatchT]):
    """One line; `removals` are the listed ids that it drains or removes, as far as that is known already."""

    watch: WatchT
    line: bytes
    removals: tuple[str, ...] = ()


class UnreadLines(Generic[WatchT]):
    """Lines in the order of their arrival, and what they drain or remove."""

    def __init__(self, max_lines: int, max_bytes: int) -> None:
        self.max_lines = max_lines
        self.max_bytes = max_bytes
        self._lines: deque[UnreadLine[WatchT]] = deque()
        self._bytes = 0
        self._removals: Counter[str] = Counter()  # how many lines drain or remove each listed id

    @property
    def has_removals(self) -> bool:
        """Whether any of the lines drains or removes an endpoint."""
        return bool(self._removals)

    def removes(self, name: str) -> bool:
        """Whether any of the lines drains or removes an endpoint of this listed id."""
        return name in self._removals

    @property
    def is_full(self) -> bool:
        """Whether no more lines should be received for now."""
        return len(self._lines) >= self.max_lines or self._bytes >= self.max_bytes

    @property
    def is_half_empty(self) -> bool:
        """Whether more lines may be received again."""
        return len(self._lines) < self.max_lines // 2 and self._bytes < self.max_bytes // 2

    def append(self, unread: UnreadLine[WatchT]) -> None:
        """Add a line behind all others."""
        self._lines.append(unread)
        self._bytes += len(unread.line)
        self._removals.update(unread.removals)

    def first(self) -> UnreadLine[WatchT] | None:
        """Return the line whose turn it is."""
        return self._lines[0] if self._lines else None

    def discard(self, unread: UnreadLine[WatchT]) -> None:
        """Remove the first line if it is this one, as it has had its turn."""
        if self.first() is not unread:
            return  # its watch has been dropped
        self._lines.popleft()
        self._forget(unread)

    def drop(self, watch: WatchT) -> None:
        """Remove all lines of a watch."""
        dropped = [unread for unread in self._lines if unread.watch is watch]
        self._lines = deque(unread for unread in self._lines if unread.watch is not watch)
        for unread in dropped:
            self._forget(unread)

    def _forget(self, unread: UnreadLine[WatchT]) -> None:
        self._bytes -= len(unread.line)
        for name in unread.removals:
            self._removals[name] -= 1
            if self._removals[name] <= 0:
                del self._removals[name]
