"""Rules broken on purpose: `python -m benchmarks.planted_faults`.

Each fault of the list is planted by itself in a copy of the sources or of the example configuration, and the
example's expectations, with the rules that hold in every scenario, are run against it. Bars: none that is not
caught, none reported where nothing is broken, the run of the unbroken one in seconds.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.report import Bar, close, table

ROOT = Path(__file__).resolve().parents[1]
SITE = "deploy/plovertrail.toml"
EXPECTATIONS = 10_000
PATIENCE_S = 300.0


@dataclass(frozen=True)
class Fault:
    """What stands in the place of what."""

    name: str
    file: str  # under the root
    old: str
    new: str


BALANCE, HOST = "plovertrail/decisions/balance.py", "plovertrail/dispatch/dispatcher.py"
ROUTES, REQUESTS = "plovertrail/decisions/routes.py", "plovertrail/decisions/requests.py"
MEMBERS, FAILOVER = "plovertrail/decisions/endpoint_list.py", "plovertrail/decisions/failover.py"
FRONT = "plovertrail/listeners/ordinary.py"
NEVER_RAN = "NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)"
FAULTS = [
    Fault(
        "a drain is ignored",
        "plovertrail/endpoint_registry.py",
        "state = EndpointStatus.DRAINING if entry.drain else EndpointStatus.READY",
        "state = EndpointStatus.READY",
    ),
    Fault(
        "a server that has gone is kept",
        BALANCE,
        "if entry.state is not EndpointStatus.READY:",
        "if entry.state is EndpointStatus.DRAINING:",
    ),
    Fault(
        "a drained server is kept by the module and the host",
        BALANCE,
        "            if entry.state is not EndpointStatus.READY:\n                self.forget(entry.id)\n"
        "                continue\n",
        "            if entry.state is EndpointStatus.REMOVED:\n"
        "                self.forget(entry.id)\n                continue\n",
    ),
    Fault(
        "a leave is told late by a second",
        "plovertrail/endpoint_registry.py",
        "            self.host.list_changed(self.pool, EndpointsUpdated(ListKind.DELTA, entries), addresses)",
        "            self.host.loop.call_later(1.0, self.host.list_changed, self.pool,\n"
        "                                      EndpointsUpdated(ListKind.DELTA, entries), addresses)",
    ),
    Fault(
        "an unsafe request is tried again",
        BALANCE,
        'if first is None or kind.effect == "idempotent":',
        'if first is None or kind.effect != "deduplicated":',
    ),
    Fault(
        "a keyed one is tried again as if it were safe",
        BALANCE,
        'if first is None or kind.effect == "idempotent":',
        'if first is None or kind.effect != "at_most_once":',
    ),
    Fault(
        "the group is forgotten",
        BALANCE,
        'grouped = first is not None and kind.effect == "deduplicated" and kind.group != "all"',
        "grouped = False",
    ),
    Fault(
        "the group is of the zone instead of the cell",
        BALANCE,
        'place = first.entry.zone if kind.group == "zone" else first.entry.cell',
        "place = first.entry.zone",
    ),
    Fault(
        "groups are mixed up",
        BALANCE,
        "mates = self.mates.get((kind.group, place), {})",
        "mates = self.servers",
    ),
    Fault(
        "a reset counts as never run",
        BALANCE,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.RESET)",
    ),
    Fault(
        "an error counts as never run",
        BALANCE,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.ERROR)",
    ),
    Fault(
        "a time-out counts as never run",
        BALANCE,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.TIMEOUT)",
    ),
    Fault(
        "what may have run is refused",
        BALANCE,
        'harmless = (kind.effect == "idempotent" or request.first_that_may_have_run() is None',
        'harmless = (kind.effect != "" or request.first_that_may_have_run() is None',
    ),
    Fault(
        "what may have run goes to the next pool",
        FAILOVER,
        "if standing.may_have_run or standing.out",
        "if standing.out",
    ),
    Fault(
        "the next pool is not asked",
        FAILOVER,
        "return next((number for number in range(standing.asked, len(serving)) if serving[number]), None)",
        "return next((number for number in range(standing.asked, "
        "len(serving)) if serving[number] and not standing.attempts), None)",
    ),
    Fault(
        "a pool leaves no attempt to those behind it",
        FAILOVER,
        "return left - max(0, min(behind, left - 1))",
        "return left",
    ),
    Fault(
        "each pool goes by its own attempts",
        BALANCE,
        "left = self.settings.max_attempts if event.attempts_left is None else event.attempts_left",
        "left = self.settings.max_attempts - event.earlier_attempts",
    ),
    Fault(
        "the weight is inverted",
        BALANCE,
        "size = server.entry.weight if self.settings.select_by_weight else 1.0",
        "size = 1.0 / server.entry.weight if self.settings.select_by_weight else 1.0",
    ),
    Fault(
        "the weight is left out",
        BALANCE,
        "size = server.entry.weight if self.settings.select_by_weight else 1.0",
        "size = 1.0",
    ),
    Fault(
        "a cold server counts as warm",
        BALANCE,
        "        if started_us == 0:\n            return 1.0\n",
        "        if started_us >= 0:\n            return 1.0\n",
    ),
    Fault(
        "a cold server gets ten times its part",
        BALANCE,
        "part * whole / (borne *",
        "part * whole / (30 * borne *",
    ),
    Fault("precedence: prefixes before expressions", ROUTES, "    REGEX = 1  #", "    REGEX = 3  #"),
    Fault("precedence: exact paths last", ROUTES, "    EXACT = 0", "    EXACT = 5"),
    Fault(
        "precedence: the shortest prefix first",
        ROUTES,
        'long = -self.path.rstrip("/").count("/")',
        'long = self.path.rstrip("/").count("/")',
    ),
    Fault(
        "methods are not looked at",
        ROUTES,
        "if route.methods and head.method not in route.methods:",
        "if False:",
    ),
    Fault(
        "a safe class takes all methods",
        "plovertrail/config/operator.py",
        'if not methods and kind is not None and kind.effect == "idempotent":',
        "if False:",
    ),
    Fault(
        "prefixes end within a segment",
        ROUTES,
        '    path = path.rstrip("/")\n    while path:\n        yield path\n'
        '        path = path[:path.rfind("/")]\n',
        '    path = path.rstrip("/")\n    while path:\n        yield path\n        path = path[:-1]\n',
    ),
    Fault("the query is dropped", REQUESTS, "if head.query and match.route.keep_query:", "if False:"),
    Fault(
        "a rewrite is left out",
        ROUTES,
        "    if route.rewrite is None:\n        return path\n",
        "    if route.rewrite is not False:\n        return path\n",
    ),
    Fault(
        "the tenant is not read",
        REQUESTS,
        '        return head.headers.get(route.tenant_header, b"")\n',
        '        return b""\n',
    ),
    Fault(
        "the deadline is off by a thousand",
        HOST,
        "due_us = call.arrived_us + max(1, call.deadline_us - ANSWER_MARGIN_US)",
        "due_us = call.arrived_us + max(1, call.deadline_us * 1000)",
    ),
    Fault(
        "the deadline is reached with no margin",
        HOST,
        "ANSWER_MARGIN_US = 10_000",
        "ANSWER_MARGIN_US = -5_000",
    ),
    Fault(
        "requests are kept for ever",
        HOST,
        "        if over and self.requests.pop(request.ident, None) is not None:",
        "        if over and self.requests.get(request.ident) is not None:",
    ),
    Fault(
        "an answer is written twice",
        FRONT,
        "        self.answered += 1\n        self.transport.write(data)\n",
        "        self.answered += 1\n" + 2 * "        self.transport.write(data)\n",
    ),
    Fault(
        "a client that leaves is not noticed",
        HOST,
        "        if request is not None and not request.over:\n            self._finish(request)\n"
        "            if "
        "request.pool is not None:",
        "        if request is None:\n            self._finish(request)\n            "
        "if request.pool is not None:",
    ),
    Fault(
        "a request is not answered by its own deadline",
        HOST,
        "        request.timer = self._at(due_us + BACKSTOP_US, self._overdue, request)\n",
        "",
    ),
    Fault(
        "refused with no Retry-After",
        FRONT,
        'return [(b"Retry-After", b"%d" % -(-after_us // 1_000_000))] if after_us else []',
        "return []",
    ),
    Fault(
        "a request waits for a slot to its end",
        BALANCE,
        "until_us = self.now_us + self.half_aim_us(request.event.class_index)",
        "until_us = self.now_us + 100 * self.half_aim_us(request.event.class_index)",
    ),
    Fault("slots are not given back", BALANCE, "server.used -= int(not attempt.lost)", "server.used -= 0"),
    Fault(
        "configuration: a purchase is safe",
        SITE,
        '[classes.chapter-buy]\neffect = "unsafe"',
        '[classes.chapter-buy]\neffect = "safe"',
    ),
    Fault("configuration: a top-up's group is all", SITE, 'group = "cell"', 'group = "all"'),
    Fault(
        "configuration: purchases go to the reserve first",
        SITE,
        'class = "chapter-buy"\npools = ["store", "reserve"]',
        'class = "chapter-buy"\npools = ["reserve", "store"]',
    ),
    Fault("configuration: top-ups take GET too", SITE, 'methods = ["POST", "PUT"]', 'methods = ["GET"]'),
    Fault("configuration: another priority", SITE, 'name = "pages"\n', 'name = "pages"\npriority = 5\n'),
    Fault("configuration: another weight", SITE, "weight = 2", "weight = 9"),
]


def played(folder: Path, fault: Fault | None) -> tuple[str, float]:
    """What the example's expectations say of a copy with a fault planted: held, caught, or what else."""
    for name in ("plovertrail", "deploy"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    if fault is not None:
        path = folder / fault.file
        text = path.read_text()
        if text.count(fault.old) < 1:
            return "not planted", 0.0
        path.write_text(text.replace(fault.old, fault.new, 1))
    began = time.perf_counter()
    try:
        done = subprocess.run(
            [sys.executable, "-B", "-m", "plovertrail.cli", "test", SITE],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(folder)},
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )
    except subprocess.TimeoutExpired:
        return "no end", PATIENCE_S
    seconds = time.perf_counter() - began
    if done.returncode == 1 and "BROKEN" in done.stdout:
        return "caught", seconds
    if done.returncode == 2 and "problem" in done.stderr:
        return "refused by check", seconds
    if done.returncode == 0:
        return "held", seconds
    return f"ended with {done.returncode}: {(done.stderr.strip().splitlines() or [''])[-1][:80]}", seconds


def many(folder: Path, count: int) -> float:
    """Seconds that so many expectations on single requests take, which hold."""
    path = folder / "many.toml"
    path.write_text(
        "".join(
            f'[[requests]]\nask = "POST http://shop.example/buy/{number}"\nroute = "buy"\n'
            for number in range(count)
        )
    )
    began = time.perf_counter()
    subprocess.run(
        [sys.executable, "-m", "plovertrail.cli", "test", SITE, "--expect", str(path)],
        cwd=ROOT,
        check=True,
        capture_output=True,
        timeout=PATIENCE_S,
    )
    return time.perf_counter() - began


def main() -> int:
    """Plant each fault and print whether the expectations caught it; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--only", default="", help="faults with this in their names")
    options = parser.parse_args()
    faults: list[Fault | None] = [None, *(fault for fault in FAULTS if options.only in fault.name)]
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.workers) as workers:
        found = list(
            workers.map(lambda pair: played(Path(folder) / str(pair[0]), pair[1]), enumerate(faults))
        )
        many_seconds = many(Path(folder), EXPECTATIONS)
    rows = [
        [fault.name if fault is not None else "(nothing)", told, seconds]
        for fault, (told, seconds) in zip(faults, found, strict=True)
    ]
    table(["planted", "expectations", "s"], rows)
    survived = [str(row[0]) for row in rows[1:] if row[1] not in ("caught", "refused by check")]
    print(f"{len(rows) - 1} planted, {len(rows) - 1 - len(survived)} caught")
    bars = [
        Bar("faults that are not caught", len(survived), 0),
        Bar("reported where nothing is broken", int(rows[0][1] != "held"), 0),
        Bar("seconds of the run with nothing planted", float(found[0][1]), 30),
        Bar(f"seconds of {EXPECTATIONS} expectations", many_seconds, 10),
    ]
    figures: dict[str, object] = {
        "planted": len(rows) - 1,
        "survived": survived,
        "seconds": found[0][1],
        "many_seconds": many_seconds,
    }
    return close("planted_faults", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
