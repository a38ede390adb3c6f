"""An inventory for operators of the kinds of state, and what happens to each on a restart or a pause."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

NOT_STORED = "learnt anew, as there is no state file"


@dataclass(frozen=True, slots=True)
class StateKind:
    """One kind of state, and what happens to it on a restart or a pause."""

    name: str
    restored_from: str  # after a restart
    max_age: str  # beyond which it is not used
    while_missing: str  # the safe behaviour without it
    stored: bool = False  # whether a state file is needed to restore it
    feature: str = ""  # the feature of a configuration that has this state; empty: every configuration


STATE_KINDS = (
    StateKind(
        "endpoint lists",
        "their sources, else the state file",
        "any age, as the last good list stays",
        "nothing is sent while a source that can be read has not been read again",
    ),
    StateKind(
        "drains by hand",
        "the state file",
        "any age",
        "after a lost disk they have to be given again",
        stored=True,
    ),
    StateKind(
        "start times of endpoints",
        "the state file",
        "any age, by the machine's own clock while that runs",
        "all endpoints of the first list count as warmed up, and later ones warm up",
        stored=True,
    ),
    StateKind(
        "endpoint histories",
        "the state file",
        "10 minutes, and half as much after each 30 s",
        "each endpoint begins with one slot, and more open as responses come in time",
        stored=True,
    ),
    StateKind(
        "requests admitted at once",
        "learnt anew, by responses in time",
        "the process's life",
        "the instances of a fleet together begin with one request at each endpoint, or two each",
    ),
    StateKind(
        "rate limiters",
        "the state file",
        "until the key conforms again, at most for one burst",
        "each key has one burst again",
        stored=True,
        feature="limiters",
    ),
    StateKind(
        "fair shares of tenants",
        "learnt anew",
        "the process's life",
        "all tenants begin with equal virtual time",
        feature="tenants",
    ),
    StateKind(
        "own shared counters",
        "the state file; a new incarnation tells peers",
        "the window of the counters",
        "peers count what this instance had used until their window is over",
        stored=True,
        feature="peers",
    ),
    StateKind(
        "shared counters of peers",
        "peers",
        "eight rounds without a message",
        "each silent peer counts with an equal part",
        feature="peers",
    ),
    StateKind(
        "the number of instances",
        "its list, else limits.instances",
        "any age, as the last good list stays",
        "limits.instances holds",
    ),
    StateKind(
        "circuit breakers of hooks",
        "learnt anew",
        "the process's life",
        "a hook that faults is switched off again",
        feature="hooks",
    ),
)


def state_kinds(features: Container[str], state_file: bool) -> tuple[StateKind, ...]:
    """Return the kinds of state of a configuration with these features, with or without a state file."""
    return tuple(
        replace(kind, restored_from=NOT_STORED) if kind.stored and not state_file else kind
        for kind in STATE_KINDS
        if not kind.feature or kind.feature in features
    )
