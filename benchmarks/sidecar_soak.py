"""The rules under several faults at once, between real processes: `python -m benchmarks.sidecar_soak`.

Three sidecars, started by the deploy file's `run`, and six servers. Drawn from a seed are: stray messages of
the servers, clients that leave early or reset their connections, system calls of the sidecars that fail or
come short, a step of their wall clock, signals (SIGHUP, SIGTERM and a new start, SIGSTOP for 0.15 s), unusual
settings (short deadlines and windows), and in half of the runs, instead of strays, relays before the servers
that delay, split, cut, reset, half-close or silence connections. An oracle judges by the records of clients
and servers; besides, each sidecar has to end with status 0, and its log must hold no error.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from benchmarks.report import Bar, close
from benchmarks.stray_responses import (
    BUY,
    FAULTS,
    GROUPS,
    KEPT_SUFFIX,
    SERVERS,
    SIDECARS,
    SLOW_START_SUFFIX,
    TOP_UP,
    Result,
    show,
)
from fakes.sidecar_rig.clients import ClientFaults, ClientGroup
from fakes.sidecar_rig.oracle import judge
from fakes.sidecar_rig.processes import Endpoint, SidecarProcess, settings_of
from fakes.sidecar_rig.records import Records, RequestKind
from fakes.sidecar_rig.relay import LinkFault, LinkPlan, Relay
from fakes.sidecar_rig.servers import Server
from fakes.sidecar_rig.shim import ShimPlan, build_shim
from fakes.sidecar_rig.stalls import collector_paused

KINDS_OF_FAULTS = ("strays", "calls", "clock", "signals", "settings", "clients", "links")
CALLS = ("short", "connect", "accept", "socket")
CALLS_SHARE = 0.02
CLOCK_STEPS_S = (3600, -3600, 5, -5)
CLIENT_FAULT_SHARES = (0.0, 0.05, 0.2)
LINK_FAULT_SHARE = 0.3  # of connections; each carries many requests
KNOWN_RED_SUFFIXES = (KEPT_SUFFIX, SLOW_START_SUFFIX)  # plans that break rules by themselves
REQUESTS_PER_S = 200.0
PAUSE_S = 0.15
SIGKILL_AFTER_DEADLINE_S = 0.7  # SIGKILL comes so long after SIGTERM and the longest deadline, 3 s at most
MAX_DEADLINE_S = 3.0
SIGNAL_INTERVAL_S = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class Draw:
    """The faults of one run."""

    strays: str
    shim: ShimPlan
    signals: tuple[str, ...]
    kinds: tuple[RequestKind, RequestKind]
    clients: ClientFaults
    links: LinkPlan

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline, as far as it counts for SIGKILL."""
        return min(MAX_DEADLINE_S, max(kind.deadline_s for kind in self.kinds))

    def __str__(self) -> str:
        calls = ",".join(self.shim.calls) or "none"
        signals = ",".join(self.signals) or "none"
        deadlines = ",".join(f"{kind.deadline_s:g}" for kind in self.kinds)
        links = ",".join(fault.value for fault in self.links.faults) or "none"
        return (
            f"strays={self.strays} calls={calls} clock_step_s={self.shim.clock_step_s} signals={signals}"
            f" deadlines_s={deadlines} clients_leave={self.clients.leaves:g}"
            f" clients_reset={self.clients.resets:g} links={links}"
        )


def draw_faults(seed: int, seconds: float, only: str | None) -> Draw:
    """Draw the faults of a seed; with `only`, those of one kind."""
    rng = random.Random(seed)
    strays = rng.choice([name for name in FAULTS if not name.endswith(KNOWN_RED_SUFFIXES)])
    calls = tuple(rng.sample(CALLS, rng.randint(1, len(CALLS))))
    step_s, step_at_s = rng.choice(CLOCK_STEPS_S), rng.uniform(0.2, 0.8) * seconds
    signals = tuple(rng.sample(("hup", "term", "stop"), rng.randint(1, 3)))
    short = rng.random() < 0.5
    buy = replace(BUY, objective_s=0.2, deadline_s=0.4) if short else BUY
    top_up = replace(TOP_UP, objective_s=0.3, deadline_s=0.8, window_s=1.0) if short else TOP_UP
    clients = ClientFaults(rng.choice(CLIENT_FAULT_SHARES), rng.choice(CLIENT_FAULT_SHARES))

    link_faults = tuple(rng.sample(list(LinkFault), rng.randint(1, len(LinkFault))))
    # a stray and then the end of the stream can't be told from a response
    has_links = only == "links" or (only is None and rng.random() < 0.5)

    def chosen(kind: str) -> bool:
        return only in (None, kind)

    shim = ShimPlan(
        calls if chosen("calls") else (),
        CALLS_SHARE if chosen("calls") else 0.0,
        step_s if chosen("clock") else 0,
        step_at_s if chosen("clock") else 0.0,
    )
    return Draw(
        strays if chosen("strays") and not has_links else "none",
        shim,
        signals if chosen("signals") else (),
        (buy, top_up) if chosen("settings") else (BUY, TOP_UP),
        clients if chosen("clients") else ClientFaults(),
        LinkPlan(link_faults, LINK_FAULT_SHARE) if has_links else LinkPlan(),
    )


class Soak:
    """One run."""

    def __init__(self, seed: int, draw: Draw, folder: Path) -> None:
        self.seed = seed
        self.draw = draw
        self.folder = folder
        self.rng = random.Random(seed + 1)
        self.records = Records()
        self.wrong_exits: list[str] = []
        self.errors: list[str] = []

    async def play(self, seconds: float) -> Result:
        """Play the faults for a time, and judge."""
        behaviour = FAULTS[self.draw.strays]
        servers = [
            Server(f"s-{number}", number % GROUPS, behaviour, self.records, self.seed * 100 + number)
            for number in range(SERVERS)
        ]
        relays = [
            Relay(server, self.draw.links, self.seed * 50 + number) for number, server in enumerate(servers)
        ]
        for server, relay in zip(servers, relays, strict=True):
            await server.start()
            await relay.start()
        sidecars = self._sidecars(relays if self.draw.links.faults else servers)
        for sidecar in sidecars:
            sidecar.start()
        for sidecar in sidecars:
            await asyncio.to_thread(sidecar.wait_until_ready)
        shares = dict(zip(self.draw.kinds, (0.69, 0.31), strict=True))
        clients = [
            ClientGroup(sidecar.port, shares, self.records, self.seed * 1000 + number, self.draw.clients)
            for number, sidecar in enumerate(sidecars)
        ]
        signals = asyncio.create_task(self._send_signals(sidecars, seconds))
        await asyncio.gather(*(group.play(seconds, REQUESTS_PER_S / SIDECARS) for group in clients))
        await signals
        await asyncio.gather(*(self._stop(sidecar) for sidecar in sidecars))
        for server, relay in zip(servers, relays, strict=True):
            server.stop()
            relay.stop()
        self.errors = [line for sidecar in sidecars for line in sidecar.errors()]
        return self._result()

    def _sidecars(self, servers: Sequence[Endpoint]) -> list[SidecarProcess]:
        settings = settings_of(self.draw.kinds, SIDECARS)
        sidecars = [SidecarProcess(self.folder, number, settings, servers) for number in range(SIDECARS)]
        library = build_shim(self.folder)
        for number, sidecar in enumerate(sidecars):
            if library is not None:
                sidecar.environment = self.draw.shim.environment(library, self.seed * 10 + number)
        return sidecars

    async def _send_signals(self, sidecars: list[SidecarProcess], seconds: float) -> None:
        """Send a drawn signal to a drawn sidecar, again and again."""
        ends_s = self.records.now() + seconds
        while self.draw.signals:
            wait_s = self.rng.uniform(*SIGNAL_INTERVAL_S)
            if self.records.now() + wait_s >= ends_s:
                return
            await asyncio.sleep(wait_s)
            sidecar, kind = self.rng.choice(sidecars), self.rng.choice(self.draw.signals)
            if kind == "hup":
                sidecar.send(signal.SIGHUP)
            elif kind == "stop":
                sidecar.send(signal.SIGSTOP)
                await asyncio.sleep(PAUSE_S)
                sidecar.send(signal.SIGCONT)
            else:
                await self._stop(sidecar)
                sidecar.start()
                await asyncio.to_thread(sidecar.wait_until_ready)

    async def _stop(self, sidecar: SidecarProcess) -> None:
        status = await sidecar.stop(self.draw.longest_deadline_s + SIGKILL_AFTER_DEADLINE_S)
        if status != 0:
            self.wrong_exits.append(f"{sidecar.log_path.name} ended with {status}")

    def _result(self) -> Result:
        verdict = judge(self.records)
        verdict.breaks["a sidecar ended with another status than 0"] = self.wrong_exits
        verdict.breaks["an error in a sidecar's log"] = self.errors
        served = sum(client.status == 200 for client in self.records.clients.values())
        return Result(str(self.draw), self.seed, len(self.records.clients), served, self.records, verdict)


def play(seed: int, seconds: float, only: str | None, folder: Path) -> Result:
    """Play one seed; the logs of the sidecars go to the folder."""
    with collector_paused():
        return asyncio.run(Soak(seed, draw_faults(seed, seconds, only), folder).play(seconds))


def main(arguments: list[str] | None = None) -> int:
    """Play one seed after the other."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.sidecar_soak")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--only", choices=KINDS_OF_FAULTS)
    parser.add_argument("--lines", type=int, default=3, help="breaks to print for each rule")
    parser.add_argument("--logs", type=Path, help="a folder for the sidecars' logs")
    options = parser.parse_args(arguments)
    bars = []
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(options.logs or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            result = play(seed, options.seconds, options.only, folder)
        show(result, options.lines)
        bars.append(Bar(f"breaks with seed {seed}", result.verdict.total, 0))
    return close("sidecar_soak", {}, bars)


if __name__ == "__main__":
    sys.exit(main())
