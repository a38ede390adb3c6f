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
# The shortest suspicion in periods, times log10 of the cluster's size (Lifeguard, section IV).
SUSPICION_FACTOR = 4.0
MAX_SUSPICION_MULTIPLIER = 6.0  # of the shortest, while only one member suspects
CONFIRMATIONS = 3  # further members whose suspicion makes it the shortest
# Transmissions of a record, times log2 of the cluster's size: it reaches all with high probability (SWIM,
# section 4).
GOSSIP_FACTOR = 4.0


class MemberState(enum.IntEnum):
    """A member's state; at the same incarnation the larger value overrides. The values are the wire's."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # it did not refute a suspicion in time
    LEFT = 3  # it said that it leaves


class MessageKind(enum.IntEnum):
    """The kinds of messages between members. The values are the wire's."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # ping that member for me
    NACK = 4  # the requested ping had no answer
    JOIN = 5  # to a seed: I am new; answered as a ping is
    GOSSIP = 6  # records and health reports alone


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The state of one member at one incarnation, as it is gossiped."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    zone: str = ""

    @property
    def precedence(self) -> tuple[int, int]:
        """Of two records of one member the one with the larger precedence holds."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Member:
    """One member as this instance knows it."""

    record: MemberRecord
    state_since_us: int
    last_heard_us: int = 0  # of its own last datagram; 0: never
    suspected_at_us: int = 0
    suspected_by: set[str] = field(default_factory=set)
    paused_us: int = 0  # by which its suspicion is longer, as this process was paused


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """A message to or from one member; the records beside it are chosen as it is sent."""

    kind: MessageKind
    address: Address  # of the other side
    probe_number: int = 0  # as the prober counts
    subject: str = ""  # PING_REQUEST and NACK: whom
    recipient: str = ""  # the name at that address, if it is known
    subject_address: Address = NO_ADDRESS


def suspicion_timeout_us(size: int, period_us: int, confirmations: int) -> int:
    """Return for how long a suspect may refute: the less, the more members suspect it."""
    shortest = SUSPICION_FACTOR * max(1.0, math.log10(max(1, size))) * period_us
    longest = MAX_SUSPICION_MULTIPLIER * shortest
    fraction = math.log(min(confirmations, CONFIRMATIONS) + 1) / math.log(CONFIRMATIONS + 1)
    return int(max(shortest, longest - (longest - shortest) * fraction))


def longest_detection_us(size: int, period_us: int, loss: float = 0.0, probability: float = 1e-3) -> int:
    """Return by when a dead member is known to be dead, except with `probability`.

    Two rounds, in each of which every member is probed once in random order (2 N - 1 periods: SWIM, section
    4.3), the spread of the news, and the longest suspicion.
    """
    round_periods = 2 * max(1, size - 1) - 1
    delivered = max(1e-9, 1.0 - loss)
    spread_periods = GOSSIP_FACTOR * math.log2(size + 1) / delivered * (1 + math.log(1 / probability) / 20)
    return int((round_periods + spread_periods + 1) * period_us) + suspicion_timeout_us(size, period_us, 0)


def false_suspicion_probability(loss: float, indirect_probes: int = INDIRECT_PROBES) -> float:
    """Return the probability that one probe of a live member raises a suspicion (SWIM, section 3.1).

    The direct ping and its ack are lost, and so is one of the four datagrams of each indirect probe.
    """
    direct = 1.0 - (1.0 - loss) ** 2
    indirect = 1.0 - (1.0 - loss) ** 4
    return direct * indirect**indirect_probes
