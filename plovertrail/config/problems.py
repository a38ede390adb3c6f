"""What is wrong with an operator's file: all at once, each with its place and what to write instead."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that must be changed before the file can be used."""

    place: str  # the path of keys, such as pools.store.servers[2].address; empty: the file as a whole
    what: str
    instead: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.what}" if self.place else self.what
        return f"{text}; {self.instead}" if self.instead else text


class ConfigError(Exception):
    """A file that can't be used."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        self.path = path
        self.problems = problems
        count = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
        super().__init__("\n".join([f"{path}: {count}", *(f"  {problem}" for problem in problems)]))


def did_you_mean(word: str, known: Iterable[str]) -> str:
    """Advice for a name that isn't known."""
    names = sorted(known)
    close = difflib.get_close_matches(word, names, n=1)
    if close:
        return f'did you mean "{close[0]}"?'
    shown = ", ".join(names[:12]) + (", ..." if len(names) > 12 else "")
    return f"known here: {shown}" if names else "none is known here"
