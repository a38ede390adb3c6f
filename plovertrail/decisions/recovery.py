"""What an instance may do once it has come to life, stood still or lost touch with a source.

Pure: the times of its own clock come in, phases go out. The rule behind all of it: what was true before a gap
is not acted on until the sources have been read again, or a stated time is over.
"""

from __future__ import annotations

import enum
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace

LONGEST_IDLE_WAIT_US = 250_000  # a loop that has nothing to do turns so often, so that a gap shows
# a drain is told through files that are looked at every second, and holds 2 s after word at the latest
LONGEST_UNNOTICED_STALL_US = 500_000  # a gap that is longer: what was known before it may be overtaken
LONGEST_CATCH_UP_US = 1_000_000  # then sources that give nothing count as missing, and the rest serves


class Phase(enum.Enum):
    """How far an instance is, in this order."""

    STARTING = "starting"  # nothing has been read yet
    CATCHING_UP = "catching up"  # what it knows may be overtaken: nothing is sent
    IN_PART = "serving in part"  # it sends by what it has; a source is missing
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Piece:
    """One kind of state, and what becomes of it over a restart or a gap."""

    name: str
    from_where: str  # after a restart
    oldest: str  # how old it may be and still be used
    meanwhile: str  # what is decided while it is missing, on the safe side
    kept: bool = False  # only where there is a state file
    part: str = ""  # the part of a setup that has it; empty: all have


PIECES = (
    Piece(
        "lists",
        "their sources, else the state file",
        "any age, as the last good list stays",
        "nothing is sent while a source that can be read has not been read again",
    ),
    Piece(
        "drains by hand",
        "the state file",
        "any age",
        "after a lost disk they have to be given again",
        kept=True,
    ),
    Piece(
        "start times of servers",
        "the state file",
        "any age, by the machine's own clock while that runs",
        "all servers of the first list count as warm, and later ones as cold",
        kept=True,
    ),
    Piece(
        "judgements on servers",
        "the state file",
        "10 minutes, and half as much after each 30 s",
        "each server begins with one slot, and more open as answers come in time",
        kept=True,
    ),
    Piece(
        "how much is let in at once",
        "learnt anew, by answers in time",
        "the process's life",
        "of a fleet's instances all together begin with one request at each server, or two each",
    ),
    Piece(
        "limits' buckets",
        "the state file",
        "until the key has paid, at most for one burst",
        "each key may have one burst again",
        kept=True,
        part="limiters",
    ),
    Piece(
        "tenants' shares",
        "learnt anew",
        "the process's life",
        "all tenants begin with equal work done",
        part="tenants",
    ),
    Piece(
        "own counts",
        "the state file; a new boot number tells peers",
        "the window of the counts",
        "peers keep what this instance had used until their window is over",
        kept=True,
        part="peers",
    ),
    Piece(
        "counts of others",
        "peers",
        "eight rounds without word",
        "each silent peer is reckoned with its part by number",
        part="peers",
    ),
    Piece(
        "the number of instances",
        "its list, else limits.instances",
        "any age, as the last good list stays",
        "limits.instances holds",
    ),
    Piece(
        "hooks' breakers",
        "learnt anew",
        "the process's life",
        "a hook that faults is switched off again",
        part="hooks",
    ),
)


def pieces(parts: Container[str], state_file: bool) -> tuple[Piece, ...]:
    """The state that a setup has, of which `parts` are in use."""
    return tuple(
        replace(piece, from_where="learnt anew, as there is no state file")
        if piece.kept and not state_file
        else piece
        for piece in PIECES
        if not piece.part or piece.part in parts
    )


class StallDetector:
    """Tells a process that stood still from one that had nothing to do, by the turns of its loop. Hazard: a
    clock alone doesn't: a stopped process and an idle one both let time go by."""

    def __init__(self, now_us: int) -> None:
        self.woke_us = now_us  # when the turn under way began
        self.wait_ends_us = now_us  # when the wait under way should have ended at the latest

    def before_wait(self, now_us: int, longest_us: int) -> int:
        """The loop is about to wait for so long at most. Returns for how long the turn before it stood still,
        0 if it didn't."""
        gap_us = now_us - self.woke_us
        self.wait_ends_us = now_us + longest_us
        return gap_us if gap_us > LONGEST_UNNOTICED_STALL_US else 0

    def after_wait(self, now_us: int) -> int:
        """The wait is over. Returns for how long the process stood still in it, 0 if it didn't."""
        gap_us = now_us - self.wait_ends_us
        self.woke_us = now_us
        return gap_us if gap_us > LONGEST_UNNOTICED_STALL_US else 0

    def stale(self, now_us: int) -> bool:
        """Whether the turn under way has lasted so long that what it began with may be overtaken."""
        return now_us - self.woke_us > LONGEST_UNNOTICED_STALL_US


class Recovery:
    """The phase of one instance. `waiting` are sources that have to be read before it sends, `missing` those
    that gave nothing when last asked."""

    def __init__(self, now_us: int) -> None:
        self.phase = Phase.STARTING
        self.since_us = now_us
        self.begun_us = now_us  # of the way back to full service
        self.why = "it starts"
        self.waiting: set[str] = set()
        self.missing: dict[str, str] = {}
        self.to_full_us: int | None = None  # how long the last way back took; None: none has ended
        self.gaps = 0
        self.longest_gap_us = 0
        self.catch_up_ends_us = now_us  # whatever has been read by then

    @property
    def may_send(self) -> bool:
        """Whether what is known may be acted on."""
        return self.phase in (Phase.IN_PART, Phase.FULL)

    def stood_still(self, gap_us: int, sources: Iterable[str], now_us: int, starting: bool = False) -> None:
        """The process did nothing for so long, or began with that (`starting`); these sources are to be read
        again."""
        if not starting:
            self.gaps += 1
            self.longest_gap_us = max(self.longest_gap_us, gap_us)
            self.why = f"it stood still for {gap_us / 1e6:.1f} s"
        self.waiting = set(sources)
        self.catch_up_ends_us = now_us + LONGEST_CATCH_UP_US
        if self.may_send:
            self.begun_us = now_us
        self._enter(Phase.CATCHING_UP, now_us)

    def begin(self, sources: Iterable[str], now_us: int) -> None:
        """What these sources hold has been asked for: the first time, or after a new setup."""
        named = set(sources)
        self.missing = {source: why for source, why in self.missing.items() if source in named}
        self.waiting &= named
        if self.phase is not Phase.CATCHING_UP:
            self._settle(now_us)

    def told(self, source: str, wrong: str, now_us: int) -> None:
        """A source has been read; `wrong`: why it gave no list, empty if it did."""
        self.waiting.discard(source)
        if wrong:
            self.missing[source] = wrong
        else:
            self.missing.pop(source, None)
        if self.may_send:
            self._settle(now_us)

    def caught_up(self, now_us: int) -> None:
        """All has been read that could be. What has not been by now is missing, and the rest serves. Hazard:
        one disk that hangs would keep all pools from all requests."""
        for source in self.waiting:
            self.missing.setdefault(source, "it could not be read again in time")
        self.waiting = set()
        self._settle(now_us)

    def _settle(self, now_us: int) -> None:
        if self.missing:
            if self.phase is Phase.FULL:
                self.begun_us, self.why = now_us, "a source gives no list"
            self._enter(Phase.IN_PART, now_us)
        else:
            if self.phase is not Phase.FULL:
                self.to_full_us = now_us - self.begun_us
            self._enter(Phase.FULL, now_us)

    def _enter(self, phase: Phase, now_us: int) -> None:
        if phase is not self.phase:
            self.phase, self.since_us = phase, now_us
