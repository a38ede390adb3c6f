"""A schedule of faults in TOML, checked before anything starts.

seed = 7
seconds = 8
instances = 4
servers = 4
per_s = 80          # requests of all clients together
unsafe = 0.7
deadline_s = 3.0
answer_s = 0.02
[[events]]
at = 2.0
do = "stop"         # SIGSTOP; ends with "wake"
instances = [0]
[[events]]
at = 3.0
do = "drain"
servers = [1]
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

# what an event may do, and the keys that it has besides `at` and `do`
INSTANCES, SERVERS, LINK = "instances", "servers", "link"
OF_PROCESS = (
    "stop",
    "wake",
    "kill",
    "start",
    "lose_state",
    "keep_state",
    "old_state",
    "fill_disk",
    "free_disk",
    "hide_list",
    "show_list",
)  # methods of an instance
OF_SERVER = ("drain", "undrain", "silent", "failing", "well", "replace")
OTHERS = "others"  # of the talk between instances: that between `instances` and these
OF_TALK = {
    "split": (OTHERS, LINK),
    "heal": (OTHERS, LINK),
    "blur": (OTHERS, LINK, "loss", "repeats", "reordered", "seconds", "jitter"),
}
OF_LINK = {
    "cut": (LINK,),
    "mend": (LINK,),
    "delay": (LINK, "seconds", "jitter"),
    "slow": (LINK, "bytes_per_s"),
    "reset": (),
    "refuse": (),
    "accept": (),
}
KEYS = (
    dict.fromkeys(OF_PROCESS, (INSTANCES,))
    | dict.fromkeys(OF_SERVER, (SERVERS,))
    | {do: (INSTANCES, SERVERS, *more) for do, more in OF_LINK.items()}
    | {do: (INSTANCES, *more) for do, more in OF_TALK.items()}
)
WAYS = ("both", "forth", "back")


class ScheduleError(ValueError):
    """What is wrong, where, and what to write instead."""


@dataclass(frozen=True)
class Event:
    """One fault, or its end."""

    at: float
    do: str
    instances: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    others: tuple[int, ...] = ()
    link: str = "both"  # which way of the links between those instances and those servers, or others
    seconds: float = 0.0
    jitter: float = 0.0
    bytes_per_s: float = 0.0
    loss: float = 0.0  # share of datagrams, as the next two
    repeats: float = 0.0
    reordered: float = 0.0


@dataclass(frozen=True)
class Schedule:
    """A whole play."""

    seconds: float = 8.0
    seed: int = 1
    instances: int = 4
    servers: int = 4
    per_s: float = 80.0
    unsafe: float = 0.7
    deadline_s: float = 3.0
    answer_s: float = 0.02
    slots: int = 64  # requests that a server takes at once
    tries: int = 1  # a client asks so often, at most, while it is refused; after what it is told, or a second
    slow_start: bool = True  # instances let in more only as answers come
    fellows: bool = False  # instances talk to one another
    judgements: bool = True  # and tell what they see of servers
    liars: int = 0  # of the instances, the last ones: they call all servers bad
    plain_loop: bool = False  # instances run on a loop that doesn't notice when the process stood still
    events: tuple[Event, ...] = field(default=())


def number(raw: Any, where: str, least: float = 0.0) -> float:
    """A number of at least `least`; raises ScheduleError, which names `where` it stands."""
    if isinstance(raw, bool) or not isinstance(raw, int | float) or raw < least:
        raise ScheduleError(f"{where}: expected a number of {least:g} or more, got {raw!r}")
    return float(raw)


def members(raw: Any, where: str, count: int) -> tuple[int, ...]:
    """Numbers from 0 to `count` - 1, or all of them; raises ScheduleError."""
    if raw == "all":
        return tuple(range(count))
    if (
        not isinstance(raw, list)
        or not raw
        or any(type(each) is not int or not 0 <= each < count for each in raw)
    ):
        raise ScheduleError(f'{where}: expected "all" or numbers from 0 to {count - 1}, got {raw!r}')
    return tuple(raw)


def event(raw: Any, where: str, instances: int, servers: int, seconds: float) -> Event:
    """One event of a schedule, checked; raises ScheduleError."""
    if not isinstance(raw, dict) or raw.get("do") not in KEYS:
        raise ScheduleError(f"{where}.do: expected one of {', '.join(KEYS)}, got {raw!r}")
    do = raw["do"]
    unknown = raw.keys() - {"at", "do", *KEYS[do]}
    if unknown:
        raise ScheduleError(
            f"{where}.{sorted(unknown)[0]}: {do!r} has no such key; it takes {', '.join(KEYS[do])}"
        )
    at = number(raw.get("at"), f"{where}.at")
    if at >= seconds:
        raise ScheduleError(f"{where}.at: {at:g} s is past the play's end at {seconds:g} s; raise seconds")
    link = raw.get("link", "both")
    if link not in WAYS:
        raise ScheduleError(f"{where}.link: expected one of {', '.join(WAYS)}, got {link!r}")
    return Event(
        at,
        do,
        members(raw.get("instances", "all"), f"{where}.instances", instances)
        if INSTANCES in KEYS[do]
        else (),
        members(raw.get("servers", "all"), f"{where}.servers", servers) if SERVERS in KEYS[do] else (),
        members(raw.get("others", "all"), f"{where}.others", instances) if OTHERS in KEYS[do] else (),
        link,
        *(
            number(raw.get(key, 0.0), f"{where}.{key}")
            for key in ("seconds", "jitter", "bytes_per_s", "loss", "repeats", "reordered")
        ),
    )


def checked(raw: dict[str, Any]) -> Schedule:
    """A schedule from its TOML; raises ScheduleError."""
    known = {each.name: each.default for each in fields(Schedule) if each.name != "events"}
    unknown = raw.keys() - known.keys() - {"events"}
    if unknown:
        raise ScheduleError(f"{sorted(unknown)[0]}: unknown; a schedule has {', '.join(known)} and events")
    plain: dict[str, Any] = {}
    for name, default in known.items():
        if name not in raw:
            continue
        if isinstance(default, bool):
            if not isinstance(raw[name], bool):
                raise ScheduleError(f"{name}: expected true or false, got {raw[name]!r}")
            plain[name] = raw[name]
        else:
            found = number(raw[name], name, 1 if name in ("instances", "servers", "slots", "tries") else 0)
            plain[name] = int(found) if isinstance(default, int) else found
    whole = Schedule(**plain)
    events = [
        event(each, f"events[{place}]", whole.instances, whole.servers, whole.seconds)
        for place, each in enumerate(raw.get("events", []))
    ]
    asleep: set[int] = set()
    dead: set[int] = set()
    for each in sorted(events, key=lambda one: one.at):
        for one in each.instances:
            if each.do in ("stop", "wake") and (one in asleep) != (each.do == "wake"):
                raise ScheduleError(
                    f"at {each.at:g} s: instance {one} can't {each.do}: it "
                    f"{'is stopped already' if one in asleep else 'is not stopped'}"
                )
            if each.do in ("kill", "start") and (one in dead) != (each.do == "start"):
                raise ScheduleError(
                    f"at {each.at:g} s: instance {one} can't {each.do}: it "
                    f"{'is dead already' if one in dead else 'runs'}"
                )
            if each.do in ("stop", "wake"):
                asleep ^= {one}
            elif each.do in ("kill", "start"):
                dead ^= {one}
    return Schedule(**plain, events=tuple(sorted(events, key=lambda one: one.at)))


def load(path: Path) -> Schedule:
    """Raises ScheduleError or OSError."""
    try:
        return checked(tomllib.loads(path.read_text()))
    except tomllib.TOMLDecodeError as error:
        raise ScheduleError(f"{path}: not TOML: {error}") from None
