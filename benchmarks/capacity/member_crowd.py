"""A large cluster of which a few members are whole: the real membership protocol, codec and evidence.

The other members have no state. They answer probes, and they send to the whole ones just what a member of
their group sends: each message from a whole member to a hollow one is mirrored, with the same contents, by a
message from a hollow member of the sender's group to a whole one of the receiver's group. By symmetry a whole
member so gets as many messages as it would in a cluster of whole ones only. Only calls into whole members are
metered.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.event_queue import SECOND_US, EventQueue
from plovertrail.decisions.cluster_members import ClusterMembers, MembershipSettings
from plovertrail.decisions.health_evidence import HealthReport
from plovertrail.decisions.membership import Address, MemberRecord, MemberState, MessageKind
from plovertrail.decisions.outlier_detection import OutlierDetector
from plovertrail.peers.address import format_address
from plovertrail.peers.envelope import digest
from plovertrail.peers.membership_codec import MembershipCodec, MembershipDatagram
from plovertrail.peers.membership_protocol import GossipSettings, MembershipProtocol, reporter_key

KEY = b"a key that all members share"
PERIOD_US = SECOND_US
GOSSIP_US = PERIOD_US // 5
FAN_OUT = 3
LONGEST_DELAY_US = 20_000
NACK_AFTER_US = PERIOD_US // 2
START_US = 10**9  # of the members' clocks
WALL_US = 50 * 365 * 86_400 * SECOND_US
ZONES = 8
REGIONS = 2
SEEDS_A_REGION = 3
SEEDS = SEEDS_A_REGION * REGIONS  # the first members
RECENT = 16  # contents of a group's last datagrams, which hollow members answer with
TAKEN_AT_ONCE = 500  # records at set-up: fewer than a member holds to tell on
JOIN_AGAIN_US = 8 * PERIOD_US  # how often a seed that is not known is asked


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """Size of the cluster, how many of its members are whole, and whether it is cut by region at first."""

    size: int
    whole: int = 24
    seed: int = 1
    regions_cut: bool = False
    judge: bool = False
    name_prefix: str = "sidecar-"


@dataclass(slots=True)
class Traffic:
    """What whole members have sent since the last reset, by member and by second."""

    datagrams: Counter[int] = field(default_factory=Counter)
    octets: Counter[int] = field(default_factory=Counter)
    octets_by_second: Counter[tuple[int, int]] = field(default_factory=Counter)

    def worst_second(self, members: Iterable[int]) -> int:
        """The most bytes that one of these members sent in one second."""
        chosen = set(members)
        return max(
            (octets for (number, _), octets in self.octets_by_second.items() if number in chosen), default=0
        )


class MemberCrowd:
    """Members are numbered from 0, the whole ones first; zone and region follow from the number."""

    def __init__(self, plan: CrowdPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.queue = EventQueue()
        self.meters = [CpuMeter() for _ in range(plan.whole)]
        self.evidence_meters = [CpuMeter() for _ in range(plan.whole)]  # of evidence outside of the protocol
        self.traffic = Traffic()
        self.codec = MembershipCodec("capacity", [KEY])
        self.addresses: list[Address] = [
            (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7400) for n in range(plan.size)
        ]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.records = [self._record(number, 0) for number in range(plan.size)]
        self.down: set[int] = set()
        self.cut = plan.regions_cut
        self.recent: list[deque[MembershipDatagram]] = [deque(maxlen=RECENT) for _ in range(REGIONS)]
        self.wholes_of = [
            [n for n in range(plan.whole) if n % REGIONS == region] for region in range(REGIONS)
        ]
        self.sequence = 0  # of evidence that hollow members tell of themselves
        self.members: list[MembershipProtocol] = []
        for number in range(plan.whole):
            self.members.append(self._started(number))
            self._introduce(number)
            self._arm(number)

    # Members

    def region(self, number: int) -> int:
        """The region of a member; all are in one where nothing is cut."""
        return number % REGIONS if self.plan.regions_cut else 0

    def _name(self, number: int) -> str:
        return f"{self.plan.name_prefix}{number}"

    def _record(self, number: int, incarnation: int) -> MemberRecord:
        address = self.addresses[number]
        return MemberRecord(
            self._name(number), address, WALL_US + incarnation, MemberState.ALIVE, f"z{number % ZONES}"
        )

    def _started(self, number: int) -> MembershipProtocol:
        """A whole member that knows nobody."""
        now_us = self.local_us
        seeds = self.addresses[:SEEDS]
        cluster = ClusterMembers(
            self.records[number],
            MembershipSettings(PERIOD_US, tuple(seeds), self.plan.size),
            random.Random(self.rng.random()),
            now_us,
        )
        detector = (
            OutlierDetector(reporter_key(self._name(number)), now_us, WALL_US) if self.plan.judge else None
        )
        gossip = GossipSettings(GOSSIP_US, FAN_OUT)
        return MembershipProtocol(cluster, detector, self.codec, gossip, now_us)

    def _introduce(self, number: int) -> None:
        """Let a whole member know all of its side, with nothing left to tell."""
        known = [
            record
            for other, record in enumerate(self.records)
            if other != number and (not self.cut or self.region(other) == self.region(number))
        ]
        self._take_quietly(self.members[number].cluster, known)

    def _take_quietly(self, cluster: ClusterMembers, records: list[MemberRecord]) -> None:
        """Records are known from here on, and there is no need to tell them on."""
        for begin in range(0, len(records), TAKEN_AT_ONCE):
            cluster.merge_records(records[begin : begin + TAKEN_AT_ONCE], "", self.local_us)
            cluster.table.gossip_queue.clear()

    @property
    def local_us(self) -> int:
        """The time by the members' clocks."""
        return START_US + self.queue.now_us

    def reset(self) -> None:
        """Begin to count anew."""
        self.traffic = Traffic()
        for meter in (*self.meters, *self.evidence_meters):
            meter.reset()

    @property
    def known_share(self) -> float:
        """Of the members that are up, how many the whole member that knows fewest takes to be alive."""
        up = self.plan.size - len(self.down)
        sizes = [m.cluster.size for number, m in enumerate(self.members) if number not in self.down]
        return min(sizes) / up

    # What befalls them

    def stop(self, numbers: Iterable[int]) -> None:
        """Members are down, and all others have known it for a while."""
        gone = set(numbers)
        self.down |= gone
        records = [replace(self.records[number], state=MemberState.DEAD) for number in sorted(gone)]
        for number, member in enumerate(self.members):
            if number not in gone:
                self._take_quietly(member.cluster, records)

    def start(self, numbers: Iterable[int], over_us: int = PERIOD_US) -> None:
        """Members start with nothing known; each asks a seed, at random within the protocol's span."""
        for number in numbers:
            self.down.discard(number)
            self.records[number] = self._record(number, START_US + self.queue.now_us)
            if number < self.plan.whole:
                self.members[number] = self._started(number)
                self._arm(number)
                over_us = max(PERIOD_US, self.members[number].cluster.settings.join_interval_us)
        for number in numbers:
            if number >= self.plan.whole:
                self.queue.after(int(self.rng.random() * over_us), partial(self._join, number))

    def lose(self, number: int) -> None:
        """A hollow member dies; three hollow ones that probe it find out first."""
        self.down.add(number)
        suspect = replace(self.records[number], state=MemberState.SUSPECT)
        for after_us in (PERIOD_US, 2 * PERIOD_US, 3 * PERIOD_US):
            self.queue.after(after_us, partial(self._tell_one, suspect))

    def heal(self) -> None:
        """The regions meet again."""
        self.cut = False

    def _join(self, number: int) -> None:
        seed = self.rng.randrange(SEEDS)
        self._deliver(seed, number, MembershipDatagram(MessageKind.JOIN, 0, self.records[number]))

    def _tell_one(self, record: MemberRecord) -> None:
        sender = self._hollow(0)
        receiver = self.rng.randrange(self.plan.whole)
        if sender is not None:
            self._deliver(
                receiver,
                sender,
                MembershipDatagram(MessageKind.GOSSIP, 0, self.records[sender], records=(record,)),
            )

    # Time and messages

    def _arm(self, number: int) -> None:
        member = self.members[number]
        wait_us = max(1_000, member.next_wakeup_us() - self.local_us)
        self.queue.after(wait_us, partial(self._tick, number, member))

    def _tick(self, number: int, member: MembershipProtocol) -> None:
        if self.members[number] is member and number not in self.down:
            self._send(number, self.meters[number].call(member.tick, self.local_us))
            self._arm(number)

    def _delay_us(self) -> int:
        return int(self.rng.random() * LONGEST_DELAY_US)

    def _send(self, number: int, out: list[tuple[Address, bytes]]) -> None:
        """What a whole member sends is counted; it reaches a whole member, or a hollow one reacts to it."""
        for address, data in out:
            receiver = self.numbers[address]
            self.traffic.datagrams[number] += 1
            self.traffic.octets[number] += len(data)
            self.traffic.octets_by_second[number, self.queue.now_us // SECOND_US] += len(data)
            datagram = self.codec.decode(data, frozenset({digest(format_address(address))}))
            if datagram.kind is not MessageKind.JOIN:
                self.recent[self.region(number)].append(datagram)
            if receiver < self.plan.whole:
                self._send_whole(number, receiver, datagram, data)
            elif datagram.kind in (MessageKind.PING, MessageKind.GOSSIP, MessageKind.PING_REQUEST):
                self._react(number, receiver, datagram)

    def _reaches(self, sender: int, receiver: int) -> bool:
        if receiver in self.down or sender in self.down:
            return False
        return not self.cut or self.region(sender) == self.region(receiver)

    def _send_whole(self, sender: int, receiver: int, datagram: MembershipDatagram, data: bytes) -> None:
        if not self._reaches(sender, receiver):
            return
        self.queue.after(self._delay_us(), partial(self._received, receiver, data, self.addresses[sender]))
        if datagram.kind is MessageKind.JOIN and self.plan.regions_cut:
            self._join_as_many(sender, receiver)

    def _join_as_many(self, sender: int, seed: int) -> None:
        """For each whole member that asks a seed of the other region the hollow ones it stands for do so."""
        region = self.region(sender)
        for _ in range(self.plan.size // REGIONS // len(self.wholes_of[region]) - 1):
            other = self._hollow(region)
            if other is not None:
                join = MembershipDatagram(MessageKind.JOIN, 0, self.records[other])
                after_us = int(self.rng.random() * JOIN_AGAIN_US)
                self.queue.after(after_us, partial(self._deliver, seed, other, join))

    def _hollow(self, region: int) -> int | None:
        """A hollow member of a region that is up."""
        for _ in range(64):
            number = self.rng.randrange(self.plan.whole, self.plan.size)
            if number not in self.down and self.region(number) == region:
                return number
        return None

    def _react(self, sender: int, receiver: int, datagram: MembershipDatagram) -> None:
        """A hollow member got a message: it answers, and the like goes to a whole one."""
        if not self._reaches(sender, receiver):
            return
        if datagram.kind is MessageKind.PING:
            self._answer(receiver, sender, MessageKind.ACK, datagram.probe_number, self._delay_us())
        elif datagram.kind is MessageKind.PING_REQUEST:
            subject = self.numbers[datagram.subject_address]
            reached = subject not in self.down and self._reaches(receiver, subject)
            kind, after_us = (
                (MessageKind.ACK, self._delay_us()) if reached else (MessageKind.NACK, NACK_AFTER_US)
            )
            self._answer(receiver, sender, kind, datagram.probe_number, after_us)
        self._mirror(sender, receiver, datagram)

    def _mirror(self, sender: int, receiver: int, datagram: MembershipDatagram) -> None:
        hollow = self._hollow(self.region(sender))
        region = self.region(receiver)
        candidates = self.wholes_of[region] if self.plan.regions_cut else range(self.plan.whole)
        whole = self.rng.choice(candidates)
        if hollow is None or whole in self.down:
            return
        reports = self._as_reported_by(hollow, sender, datagram.reports)
        like = replace(
            datagram, probe_number=1, sender=self.records[hollow], is_unhealthy=False, reports=reports
        )
        self.queue.after(self._delay_us(), partial(self._deliver, whole, hollow, like))

    def _as_reported_by(
        self, hollow: int, sender: int, reports: Iterable[HealthReport]
    ) -> tuple[HealthReport, ...]:
        """A sender's evidence, its own as if the hollow member had told it."""
        self.sequence += 1
        own = reporter_key(self._name(sender))
        other = reporter_key(self._name(hollow))
        sequence = WALL_US + self.sequence
        return tuple(
            replace(report, reporter=other, sequence=sequence) if report.reporter == own else report
            for report in reports
        )

    def _answer(self, hollow: int, whole: int, kind: MessageKind, number: int, after_us: int) -> None:
        recent = self.recent[self.region(hollow)]
        records = self.rng.choice(recent).records if recent else ()
        answer = MembershipDatagram(kind, number, self.records[hollow], records=records)
        self.queue.after(after_us, partial(self._deliver, whole, hollow, answer))

    def _deliver(self, whole: int, hollow: int, datagram: MembershipDatagram) -> None:
        if self._reaches(hollow, whole):
            data = self.codec.encode(digest(format_address(self.addresses[whole])), datagram)
            self._received(whole, data, self.addresses[hollow])

    def _received(self, number: int, data: bytes, sender: Address) -> None:
        if number in self.down:
            return
        member = self.members[number]
        _, out = self.meters[number].call(member.receive, data, sender, self.local_us)
        self._send(number, out)
        self.flush_news(number)

    def flush_news(self, number: int) -> None:
        """News of a server doesn't wait for the next turn; a tick that finds nothing due is harmless."""
        member = self.members[number]
        due_us = member.next_wakeup_us()
        if (
            member.detector is not None
            and member.detector.has_urgent_report
            and due_us < member.gossip_due_us
        ):
            wait_us = max(1_000, due_us - self.local_us)
            self.queue.after(wait_us, partial(self._tick_once, number, member))

    def _tick_once(self, number: int, member: MembershipProtocol) -> None:
        if self.members[number] is member and number not in self.down:
            self._send(number, self.meters[number].call(member.tick, self.local_us))
