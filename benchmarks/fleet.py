"""What all instances of a fleet together do to servers and discovery: `python -m benchmarks.fleet`.

Real hosts, decision modules, watches and connections, many to a process, against stand-ins that count each
second. The same load comes from 500 and from `--instances`; in each play a server restarts cold, another
leaves all subsets, and discovery ends all watches at one moment. Bars: connections and dials a server, calls
to discovery and the cold server within what is stated of them in each second; what servers hold flat within
10 % between the two fleets; nothing late, nothing answered twice; as much served. No probe is sent at all:
the module asks for none.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import time
from dataclasses import replace
from typing import Any

from benchmarks.report import Bar, close, table
from fakes.fleet.plan import Plan

BASE = 500
START_S = 3.0  # for processes to start, and
START_EACH_S = 0.002  # for each instance
OTHER_DESCRIPTORS = 200
PATIENCE_S = 120.0


def play(plan: Plan, processes: int) -> dict[str, Any]:
    """One play: what each side counted."""
    plan = replace(plan, starts_at=time.monotonic() + START_S + START_EACH_S * plan.instances)
    servers = subprocess.Popen(
        [sys.executable, "-m", "fakes.fleet.servers", plan.dump()], stdout=subprocess.PIPE, text=True
    )
    started = [servers]
    try:
        assert servers.stdout is not None
        met = json.loads(servers.stdout.readline())
        cuts = [plan.instances * n // processes for n in range(processes + 1)]
        workers = []
        for first, end in zip(cuts, cuts[1:], strict=False):
            arguments = {
                "first": first,
                "count": end - first,
                "discovery_port": met["discovery"],
                "known": met["known"],
            }
            command = [sys.executable, "-m", "fakes.fleet.instances", plan.dump(), json.dumps(arguments)]
            workers.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        started += workers
        patience = plan.starts_at - time.monotonic() + plan.seconds + PATIENCE_S
        told = [json.loads(worker.communicate(timeout=patience)[0]) for worker in workers]
        counted: dict[str, Any] = json.loads(servers.communicate(timeout=PATIENCE_S)[0])
    finally:
        for process in started:
            if process.poll() is None:
                process.kill()
                process.wait()
    load = {
        name: [sum(column) for column in zip(*(each[name] for each in told), strict=True)]
        for name in ("asked", "served", "refused", "failed", "late", "twice")
    }
    taken = sorted(took for each in told for took in each["taken"])
    return counted | {"load": load, "taken": taken, "ready_s": min(each["ready_s"] for each in told)}


def figures(plan: Plan, found: dict[str, Any]) -> dict[str, float]:
    """What a play comes to; the calm part is what lies before anything happens."""
    calm = range(int(plan.restart_at / 2), int(plan.restart_at))
    servers, load = found["servers"], found["load"]
    held = sum(server["open"][second] for server in servers for second in calm) / len(calm) / len(servers)
    dials = sum(server["dials"][second] for server in servers for second in calm) / len(calm) / len(servers)
    discovery = found["discovery"]
    return {
        "connections_mean": held,
        "connections_most": max(max(server["open"]) for server in servers),
        "dials_mean": dials,
        "dials_most": max(max(server.get("dials", [0])) for server in servers),
        "probes": sum(sum(server.get("probes", [])) for server in servers),
        "calls_most": max(discovery["calls"]),
        "calls_turned_away": sum(discovery.get("turned_away", [])),
        "cold_of_bound": found["cold"]["most_of_bound"],
        "fallen": float(found["cold"]["fallen"]),
        "asked": sum(load["asked"]),
        "served": sum(load["served"]) / sum(load["asked"]),
        "refused": sum(load["refused"]) / sum(load["asked"]),
        "failed": sum(load["failed"]) / sum(load["asked"]),
        "late": sum(load["late"]),
        "twice": sum(load["twice"]),
        "unanswered": sum(load["asked"]) - sum(sum(load[v]) for v in ("served", "refused", "failed")),
        "p50_ms": found["taken"][len(found["taken"]) // 2] * 1e3,
        "p99_ms": found["taken"][int(len(found["taken"]) * 0.99)] * 1e3,
        "ready_s": found["ready_s"],
    }


def main() -> int:
    """Play fleets of two sizes and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=5_000)
    parser.add_argument("--base", type=int, default=BASE)
    parser.add_argument("--seconds", type=float, default=60.0, help="of each play")
    parser.add_argument("--rate", type=float, default=1_000.0, help="requests a second, of all instances")
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--connections", type=int, default=150, help="that one server bears")
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    # the servers' process has a watch of each instance, and the connections of all
    most = hard - OTHER_DESCRIPTORS - options.instances
    plan = Plan(
        instances=options.base,
        seconds=options.seconds,
        requests_per_s=options.rate,
        connections=options.connections,
        restart_at=options.seconds * 0.4,
        leave_at=options.seconds * 0.65,
        watches_end_at=options.seconds * 0.7,
        capacity_per_s=options.rate / 20 * 2,
    )
    if plan.connections * plan.servers > most:
        raise SystemExit(f"{hard} descriptors are too few for {options.instances} instances")
    found = {
        size: figures(plan, play(replace(plan, instances=size), options.processes))
        for size in (options.base, options.instances)
    }
    few, many = found[options.base], found[options.instances]
    table(
        ["", f"{options.base:,} instances", f"{options.instances:,}"],
        [[name, float(few[name]), float(many[name])] for name in few],
    )
    bars = []
    for size, each in found.items():
        bars += [
            Bar(
                f"{size}: connections a server, the worst second, of the cap",
                each["connections_most"] / plan.connections,
                1.0,
            ),
            Bar(
                f"{size}: dials a server, the worst second, of the cap",
                each["dials_most"] / plan.dials_per_s,
                1.0,
            ),
            Bar(f"{size}: probes", each["probes"], 0.0),
            Bar(
                f"{size}: calls to discovery, the worst second, of its capacity",
                each["calls_most"] / plan.list_calls_per_s,
                1.0,
            ),
            Bar(f"{size}: the cold server, of what pushes it over", each["cold_of_bound"], 1.0),
            Bar(f"{size}: late, twice or no answer", each["late"] + each["twice"] + each["unanswered"], 0.0),
        ]
    change = many["connections_mean"] / few["connections_mean"]
    bars.append(Bar("connections held, one fleet beside the other", max(change, 1 / change), 1.1))
    bars.append(
        Bar(
            "share of requests not served, more than with the few",
            max(0.0, few["served"] - many["served"]),
            0.02,
        )
    )
    told: dict[str, object] = {
        f"{size}, {name}": round(figure, 4) for size, each in found.items() for name, figure in each.items()
    }
    return close("fleet", told, bars)


if __name__ == "__main__":
    sys.exit(main())
