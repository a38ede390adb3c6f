"""What knowing one another costs and how soon it tells: `python -m benchmarks.cluster_membership`.

Instances on a virtual clock (fakes/fellows_model), with no kernel in between. For each loss: by when a
dead one is silent at all others, beside the stated time, and how many probes of live ones raised a
suspicion, beside SWIM's formula. For each size: datagrams, bytes and CPU a second of one instance, without
news and while a tenth of the fleet restarts; at 5,000 twenty instances know all, and the rest only answers
and probes. Bars: no live one given up, detection within the stated time, suspicions within twice the
formula's, and the load of one instance at the largest size at most 1.5 times that at 24.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from benchmarks.report import Bar, close, table
from fakes.membership_model import MembershipModel
from plovertrail.decisions.membership import (
    MemberRecord,
    MemberState,
    MessageKind,
    false_suspicion_probability,
    longest_detection_us,
)
from plovertrail.peers.address import format_address
from plovertrail.peers.envelope import digest
from plovertrail.peers.membership_codec import MembershipDatagram

S = 1_000_000
LOSSES = (0.0, 0.1, 0.3)
SIZES = (5, 24, 200)
CROWD, REAL = 5_000, 20
MOST_LOAD, MOST_SUSPECTED = 1.5, 2.0


def detection(size: int, loss: float, seeds: int) -> tuple[list[float], int, float, float]:
    """Seconds until a dead one is silent at all, live ones given up, suspicions a probe, the stated time."""
    took, given_up, suspected, probes = [], 0, 0, 0
    stated_s = longest_detection_us(size, S, loss) / S
    for seed in range(seeds):
        fleet = MembershipModel(size, seed=seed, loss=loss, exchange_health=False)
        fleet.run(30)
        suspected += sum(instance.cluster.suspicions_raised for instance in fleet.instances)
        probes += sum(instance.cluster.prober.probes_sent for instance in fleet.instances)
        fleet.kill(0)
        begun_us = fleet.now_us
        while fleet.states(0)[MemberState.DEAD] < size - 1 and fleet.now_us < begun_us + 2 * stated_s * S:
            fleet.run(0.5)
        took.append((fleet.now_us - begun_us) / S)
        given_up += sum(fleet.states(number)[MemberState.DEAD] for number in range(1, size))
    return took, given_up, suspected / max(1, probes), stated_s


class Crowd(MembershipModel):
    """A large fleet of which a few are whole; the others answer probes, and probe these as often as a fleet
    of that size would."""

    def __init__(self, size: int, real: int, seed: int) -> None:
        super().__init__(real, seed=seed, known=False, exchange_health=False)
        self.rest = [
            MemberRecord(f"x{n}", (f"11.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7400), 1, MemberState.ALIVE)
            for n in range(size - real)
        ]
        self.by_address = {record.address: record for record in self.rest}
        for number, instance in enumerate(self.instances):
            instance.cluster.merge_records(
                [other.cluster.me for other in self.instances if other is not instance],
                "",
                self.local_us(number),
            )
            instance.cluster.merge_records(self.rest, "", self.local_us(number))
            instance.cluster.table.gossip_queue.clear()
            self.at(int(self.rng.random() * S), self.probed, number)

    def probed(self, number: int) -> None:
        """One of the crowd probes it, once a period on average."""
        record = self.rng.choice(self.rest)
        data = self.codec.encode(
            digest(format_address(self.addresses[number])), MembershipDatagram(MessageKind.PING, 1, record)
        )
        self.deliver(number, data, record.address)
        self.at(self.now_us + int(self.rng.expovariate(1.0) * S), self.probed, number)

    def send(self, number: int, out: list[tuple[tuple[str, int], bytes]]) -> None:
        """Send datagrams; those to members that are not modelled whole are answered here."""
        for address, data in out:
            record = self.by_address.get(address)
            if record is None:
                super().send(number, [(address, data)])
                continue
            self.datagrams[number] += 1
            self.bytes_sent[number] += len(data)
            asked = self.codec.decode(data, frozenset({digest(format_address(address))}))
            if asked.kind is MessageKind.PING:
                answer = self.codec.encode(
                    digest(format_address(self.addresses[number])),
                    MembershipDatagram(MessageKind.ACK, asked.probe_number, record),
                )
                self.at(self.now_us + 5_000, self.deliver, number, answer, address)


def load(fleet: MembershipModel, seconds: float, restarted: int = 0) -> tuple[float, float, float]:
    """Datagrams, bytes and ms of CPU a second of one instance; the model's own CPU is in it."""
    fleet.run(3)
    fleet.datagrams.clear()
    fleet.bytes_sent.clear()
    for number in random.Random(1).sample(range(1, fleet.size), restarted):
        fleet.restart(number)
    began = time.process_time()
    fleet.run(seconds)
    cpu_s = time.process_time() - began
    whole = fleet.size * seconds
    return sum(fleet.datagrams.values()) / whole, sum(fleet.bytes_sent.values()) / whole, cpu_s * 1e3 / whole


def main() -> int:
    """Measure fleets of several sizes and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cluster_membership")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--short", action="store_true", help="small fleets only")
    asked = parser.parse_args()
    figures: dict[str, object] = {}
    bars: list[Bar] = []
    rows: list[list[object]] = []
    for loss in LOSSES:
        took, given_up, suspected, stated_s = detection(24, loss, asked.seeds)
        formula = false_suspicion_probability(loss)
        rows.append(
            [
                f"24 instances, {loss:.0%} lost",
                statistics.median(took),
                max(took),
                stated_s,
                f"{suspected:.2%}",
                f"{formula:.2%}",
                given_up,
            ]
        )
        figures[f"loss {loss:g}"] = {
            "median_s": statistics.median(took),
            "worst_s": max(took),
            "stated_s": round(stated_s, 1),
            "suspected": round(suspected, 5),
            "formula": round(formula, 5),
            "given_up": given_up,
        }
        bars += [
            Bar(f"{loss:.0%} lost: s to silent at all", max(took), stated_s),
            Bar(f"{loss:.0%} lost: live ones given up", given_up, 0.0),
            Bar(f"{loss:.0%} lost: suspicions a probe", suspected, MOST_SUSPECTED * formula + 0.002),
        ]
    table(["", "dead to silent s", "worst", "stated", "suspected", "SWIM", "given up"], rows)
    rows, loads = [], {}
    fleets: list[tuple[str, MembershipModel]] = [
        (f"{size}", MembershipModel(size, seed=1, exchange_health=False))
        for size in (SIZES[:2] if asked.short else SIZES)
    ]
    if not asked.short:
        fleets.append((f"{CROWD}", Crowd(CROWD, REAL, 1)))
    for name, fleet in fleets:
        found = loads[name] = load(fleet, asked.seconds)
        rows.append([name, *found])
        if not isinstance(fleet, Crowd):
            rows.append([f"{name}, a tenth restarts", *load(fleet, asked.seconds, max(1, fleet.size // 10))])
    table(["instances", "datagrams/s", "bytes/s", "CPU ms/s"], rows)
    figures["load"] = {str(row[0]): [round(float(str(each)), 2) for each in row[1:]] for row in rows}
    largest = list(loads)[-1]
    bars.append(
        Bar(f"datagrams a second at {largest}, of those at 24", loads[largest][0] / loads["24"][0], MOST_LOAD)
    )
    return close("cluster_membership", figures, bars)


if __name__ == "__main__":
    raise SystemExit(main())
