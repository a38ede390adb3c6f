"""What became of every directive: each once, with its file and line."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field

from plovertrail.nginx.tree import Directive, Tree


class Treatment(enum.IntEnum):
    """The worst of several holds, where a directive counts in several places."""

    NO_EFFECT = 0  # here; nothing is lost by that
    MAPPED = 1
    DIFFERS = 2  # mapped, with another meaning
    NOT_MAPPED = 3


WORDS = {
    Treatment.MAPPED: "mapped",
    Treatment.DIFFERS: "mapped with another meaning",
    Treatment.NO_EFFECT: "without effect here",
    Treatment.NOT_MAPPED: "NOT MAPPED",
}


@dataclass(slots=True)
class Entry:
    """What became of one directive, and the notes that say why."""

    directive: Directive
    treatment: Treatment
    notes: list[str] = field(default_factory=list)


class Report:
    """Collects what becomes of directives; `close` sees to it that none is left out."""

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}

    def mark(self, directive: Directive, treatment: Treatment, note: str = "") -> None:
        """Record a treatment of a directive; of several the worst holds, with its notes."""
        entry = self.entries.get(directive.number)
        if entry is None:
            self.entries[directive.number] = Entry(directive, treatment, [note] if note else [])
            return
        if treatment > entry.treatment:
            entry.treatment = treatment
            entry.notes = []
        if note and treatment is entry.treatment and note not in entry.notes:
            entry.notes.append(note)

    def mapped(self, directive: Directive, note: str = "") -> None:
        """The directive is carried over."""
        self.mark(directive, Treatment.MAPPED, note)

    def differs(self, directive: Directive, note: str) -> None:
        """The directive is carried over with another meaning, which the note tells."""
        self.mark(directive, Treatment.DIFFERS, note)

    def no_effect(self, directive: Directive, note: str) -> None:
        """The directive has no counterpart, and nothing is lost by that."""
        self.mark(directive, Treatment.NO_EFFECT, note)

    def not_mapped(self, directive: Directive, note: str) -> None:
        """The directive is not carried over; the note says why, and what holds in its place."""
        self.mark(directive, Treatment.NOT_MAPPED, note)

    def not_mapped_block(self, block: Directive, note: str) -> None:
        """A block isn't carried over, and neither is all that is in it."""
        self.not_mapped(block, note)
        for inner in block.inner():
            if inner.name != "include":
                self.not_mapped(inner, f"in a block that isn't imported, {block.place}")

    def known(self, directive: Directive) -> bool:
        """Whether something has been recorded of the directive."""
        return directive.number in self.entries

    def close(self, tree: Tree) -> None:
        """What nothing has been said of is not mapped: nobody knows whether it is harmless."""
        for directive in tree.written:
            if not self.known(directive):
                self.not_mapped(
                    directive,
                    "the importer doesn't know it: see what it does, and whether the "
                    "imported setup may do without",
                )

    def counts(self) -> Counter[Treatment]:
        """How many directives had each treatment."""
        return Counter(entry.treatment for entry in self.entries.values())

    def text(self) -> str:
        """A line for each directive, in the order in which they are written."""
        counts = self.counts()
        lines = [
            f"# {len(self.entries)} directives: "
            + ", ".join(f"{counts[kind]} {WORDS[kind]}" for kind in WORDS)
        ]
        for number in sorted(self.entries):
            entry = self.entries[number]
            shown = str(entry.directive)
            shown = shown if len(shown) <= 100 else shown[:97] + "..."
            line = f"{entry.directive.place}: {' '.join(shown.split())}: {WORDS[entry.treatment]}"
            lines.append(f"{line}: {'; '.join(entry.notes)}" if entry.notes else line)
        return "\n".join(lines) + "\n"
