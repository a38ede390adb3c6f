"""The pings of one instance, its own and those it relays for others, and its local health (Lifeguard).

Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.decisions.membership import (
    NO_ADDRESS,
    Address,
    MemberRecord,
    MembershipMessage,
    MessageKind,
)

MAX_HEALTH_SCORE = 8  # periods and timeouts are multiplied by the score plus one
UNHEALTHY_SCORE = MAX_HEALTH_SCORE // 2
ACK_TIMEOUT_FRACTION = 0.5  # of the period, for the direct ping; the rest is left for indirect ones
MAX_RELAYED = 1_024  # pings pending on behalf of others


@dataclass(slots=True)
class Probe:
    """The ping of the current period."""

    name: str
    number: int
    sent_us: int
    is_indirect: bool = False  # helpers were asked to ping
    helpers: int = 0
    nacks: int = 0  # helpers that answered, though they got no ack either


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A ping on behalf of another member."""

    requester: Address
    number: int  # the requester's probe number
    subject: str
    expires_us: int


class Prober:
    """Tracks unanswered pings; while pings fail, periods and timeouts grow longer."""

    def __init__(self, period_us: int) -> None:
        self.period_us = period_us
        self.health_score = 0  # Lifeguard's local health: 0 is healthy
        self.probe: Probe | None = None
        self.probes_sent = 0
        self._relayed: dict[int, RelayedProbe] = {}  # by own probe number

    @property
    def scaled_period_us(self) -> int:
        """The period, multiplied by the health score plus one."""
        return self.period_us * (self.health_score + 1)

    @property
    def ack_timeout_us(self) -> int:
        """How long a ping waits for its ack."""
        return int(self.scaled_period_us * ACK_TIMEOUT_FRACTION)

    def adjust_health(self, by: int) -> None:
        """Add to the health score, within its range."""
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + by))

    def process_paused(self) -> None:
        """Drop pings whose acks the paused process may have missed, and set the worst health score."""
        self.health_score = MAX_HEALTH_SCORE
        self.probe = None
        self._relayed.clear()

    # Time

    def next_wakeup_us(self) -> int | None:
        """Return when a ping times out next."""
        due_us = [each.expires_us for each in self._relayed.values()]
        if self.probe is not None and not self.probe.is_indirect:
            due_us.append(self.probe.sent_us + self.ack_timeout_us)
        return min(due_us, default=None)

    def timed_out_probe(self, now_us: int) -> Probe | None:
        """Return the probe if its direct ping got no ack in time and no helpers were asked yet."""
        probe = self.probe
        if probe is None or probe.is_indirect or now_us < probe.sent_us + self.ack_timeout_us:
            return None
        return probe

    def expired_relays(self, now_us: int) -> list[MembershipMessage]:
        """Return nacks for the relayed pings that got no ack in time."""
        expired = [number for number, each in self._relayed.items() if now_us >= each.expires_us]
        relayed = [self._relayed.pop(number) for number in expired]
        return [
            MembershipMessage(MessageKind.NACK, each.requester, each.number, each.subject) for each in relayed
        ]

    # Own pings

    def ping(self, record: MemberRecord, now_us: int) -> MembershipMessage:
        """Start the probe of this period; returns the ping."""
        self.probes_sent += 1
        self.probe = Probe(record.name, self.probes_sent, now_us)
        return MembershipMessage(MessageKind.PING, record.address, self.probes_sent, recipient=record.name)

    @staticmethod
    def request_pings(
        probe: Probe, subject: MemberRecord, helpers: list[MemberRecord]
    ) -> list[MembershipMessage]:
        """Return requests to helpers to ping the member that did not answer."""
        probe.helpers = len(helpers)
        return [
            MembershipMessage(
                MessageKind.PING_REQUEST,
                helper.address,
                probe.number,
                probe.name,
                helper.name,
                subject.address,
            )
            for helper in helpers
        ]

    def end_probe(self) -> Probe | None:
        """End the period's probe; returns it if it got no ack, directly or through a helper."""
        probe = self.probe
        self.probe = None
        if probe is not None:
            # Helpers that sent neither ack nor nack suggest a fault of this instance (Lifeguard, section IV).
            self.adjust_health(max(0, probe.helpers - probe.nacks) if probe.helpers else 1)
        return probe

    # Messages received

    def handle_ack(self, number: int) -> list[MembershipMessage]:
        """End the ping with this number; if it was relayed, returns the ack to its requester."""
        relayed = self._relayed.pop(number, None)
        if relayed is not None:
            return [MembershipMessage(MessageKind.ACK, relayed.requester, relayed.number, relayed.subject)]
        if self.probe is not None and self.probe.number == number:
            self.probe = None
            self.adjust_health(-1)
        return []

    def handle_nack(self, number: int) -> None:
        """Count a helper that answered, though its ping got no ack."""
        if self.probe is not None and self.probe.number == number:
            self.probe.nacks += 1

    def relay(self, request: MembershipMessage, now_us: int) -> list[MembershipMessage]:
        """Return a ping to a member on behalf of the sender of a request."""
        if len(self._relayed) >= MAX_RELAYED or request.subject_address == NO_ADDRESS:
            return []
        self.probes_sent += 1
        self._relayed[self.probes_sent] = RelayedProbe(
            request.address, request.probe_number, request.subject, now_us + self.ack_timeout_us
        )
        return [
            MembershipMessage(
                MessageKind.PING, request.subject_address, self.probes_sent, recipient=request.subject
            )
        ]
