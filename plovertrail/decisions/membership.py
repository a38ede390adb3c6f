"""Records and messages of cluster membership, and the bounds on failure detection.

SWIM (Das, Gupta and Motivala, DSN 2002) with Lifeguard's extensions (Dadgar, Phillips and Currey, DSN 2018).
Pure: times are in microseconds.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

Address = tuple[str, int]
NO_ADDRESS: Address = ("0.0.0.0", 0)
INDIRECT_PROBES = 3  # members that are asked to ping one that did not answer
# The shortest suspicion timeout is this many periods times log10 of the cluster's size (Lifeguard, section
# IV).
SUSPICION_FACTOR = 4.0
MAX_SUSPICION_MULTIPLIER = 6.0  # of the shortest timeout, while only one member suspects
CONFIRMATIONS = 3  # further members that must suspect for the shortest timeout
# A record is sent this many times log2 of the cluster's size, so that it reaches all members with high
# probability (SWIM, section 4).
GOSSIP_FACTOR = 4.0


class MemberState(enum.IntEnum):
    """A member's state; at equal incarnations the larger value wins. The values are sent in datagrams."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # did not refute a suspicion in time
    LEFT = 3  # announced that it leaves


class MessageKind(enum.IntEnum):
    """The kinds of messages between members. The values are sent in datagrams."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to ping a third member
    NACK = 4  # the requested ping got no answer
    JOIN = 5  # announces a new member to a seed; answered like a ping
    GOSSIP = 6  # carries only records and health reports


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The state of one member at one incarnation, as members gossip it."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    zone: str = ""

    @property
    def precedence(self) -> tuple[int, int]:
        """Of two records of one member the one with the larger precedence is kept."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Member:
    """One member as this instance knows it."""

    record: MemberRecord
    state_since_us: int
    last_heard_us: int = 0  # when its last own datagram arrived; 0: never
    suspected_at_us: int = 0
    suspected_by: set[str] = field(default_factory=set)
    paused_us: int = 0  # how long this process was paused meanwhile; extends the timeouts of this member


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """A message to or from one member; records and reports are added when it is encoded."""

    kind: MessageKind
    address: Address  # of the other side
    probe_number: int = 0  # numbered by the instance that sent the ping or the ping request
    subject: str = ""  # PING_REQUEST and NACK: the member to ping
    recipient: str = ""  # the member at that address, if known
    subject_address: Address = NO_ADDRESS


def suspicion_timeout_us(size: int, period_us: int, confirmations: int) -> int:
    """Return how long a suspect has to refute; the more members suspect it, the shorter."""
    shortest = SUSPICION_FACTOR * max(1.0, math.log10(max(1, size))) * period_us
    longest = MAX_SUSPICION_MULTIPLIER * shortest
    fraction = math.log(min(confirmations, CONFIRMATIONS) + 1) / math.log(CONFIRMATIONS + 1)
    return int(max(shortest, longest - (longest - shortest) * fraction))


def longest_detection_us(size: int, period_us: int, loss: float = 0.0, probability: float = 1e-3) -> int:
    """Return the time within which a dead member is detected, except with `probability`.

    It is the sum of two rounds in each of which every member is probed once in random order (2 N - 1 periods:
    SWIM, section 4.3), the time in which gossip spreads, and the longest suspicion timeout.
    """
    round_periods = 2 * max(1, size - 1) - 1
    delivered = max(1e-9, 1.0 - loss)
    spread_periods = GOSSIP_FACTOR * math.log2(size + 1) / delivered * (1 + math.log(1 / probability) / 20)
    return int((round_periods + spread_periods + 1) * period_us) + suspicion_timeout_us(size, period_us, 0)


def false_suspicion_probability(loss: float, indirect_probes: int = INDIRECT_PROBES) -> float:
    """Return the probability that one probe of a live member raises a suspicion (SWIM, section 3.1).

    The direct ping or its ack is lost, and so is at least one of the four datagrams of each indirect probe.
    """
    direct = 1.0 - (1.0 - loss) ** 2
    indirect = 1.0 - (1.0 - loss) ** 4
    return direct * indirect**indirect_probes
