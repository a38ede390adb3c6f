"""An upper bound on the error of a shared count, derived from the gossip parameters. Pure.

A key is counted at `rate` requests a second over all instances (the highest rate over any span as long as the
staleness below), over a window W of buckets of length b. An instance sends its counts to each other instance
once per `round`. A datagram is lost with probability p, independently of others, or arrives within D.

- **Undercount.** Requests that a peer has counted since its last datagram that arrived are missing. That
  datagram is at most (G + 1) rounds + D old, where G is the number of consecutive losses: P(G >= k) = p^k.
  With rates r_i of the peers the missing sum is at most sum r_i ((G_i + 1) round + D). Let M be the moment
  generating function of G. log M is convex and 0 at 0, so sum log M(t r_i) <= log M(t sum r_i): by the
  Chernoff bound no division of the rate among peers is worse than one peer with all of it,
  P(missing >= rate ((x + 1) round + D)) <= min over t of exp(-t x) M(t), M(t) = (1 - p) / (1 - p exp(t)).
  If no instance has more than a share a of a key's rate, the worst division is among 1 / a peers, and the
  probability is that to the power of 1 / a.
- **Overcount.** A peer's times are mapped by its fastest datagram, so they are taken to be up to D later than
  they are, and counts leave the window up to D too late: at most rate D.
- **Both.** The bucket that the start of the window cuts counts by the fraction within the window. The error
  is at most the count of that bucket, rate b.
- **During a partition** the counts of the other side are missing: its rate times the time since the partition
  began, which is limited to W.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipParameters:
    """How instances exchange counts, and the losses and delays of the network. Times are in seconds."""

    size: int  # number of instances
    period_s: float
    fan_out: int
    window_s: float
    bucket_s: float
    loss: float  # largest fraction of datagrams lost
    delay_s: float  # largest delay of a datagram that arrives
    keys: int = 32  # in use at the same time
    keys_per_datagram: int = 32
    max_instance_share: float = 1.0  # largest share of a key's rate at one instance

    @property
    def round_s(self) -> float:
        """The time between two datagrams from one instance to another that hold the same key.

        If not all keys fit into a datagram, half of it is for the keys with most change, so sending all keys
        in turn takes twice the rounds.
        """
        turns = max(1, math.ceil((self.size - 1) / self.fan_out))
        datagrams = math.ceil(self.keys / self.keys_per_datagram)
        return turns * self.period_s * (2 * datagrams if datagrams > 1 else 1)


@dataclass(frozen=True, slots=True)
class ErrorBound:
    """Bounds as fractions of rate times window, exceeded at a given moment with at most `probability`."""

    under: float
    over: float
    staleness_s: float  # age of a peer's counts that the bound allows for
    probability: float

    def counts(self, rate_per_s: float, window_s: float) -> tuple[float, float]:
        """Return the bounds below and above in requests, at a rate of a key over all instances."""
        return self.under * rate_per_s * window_s, self.over * rate_per_s * window_s


def consecutive_loss_bound(loss: float, probability: float) -> float:
    """Return the x with min over t of exp(-t x) M(t) = probability, found by bisection."""
    if loss <= 0.0:
        return 0.0

    def tail(x: float) -> float:
        # The minimum is at p e^t = x / (1 + x). If that t is not above 0, the bound is trivial: 1.
        if x <= loss / (1.0 - loss):
            return 1.0
        t = math.log(x / (1.0 + x) / loss)
        return math.exp(-t * x) * (1.0 - loss) * (1.0 + x)

    low, high = 0.0, 1.0
    while tail(high) > probability:
        high *= 2.0
    for _ in range(60):
        middle = (low + high) / 2.0
        low, high = (middle, high) if tail(middle) > probability else (low, middle)
    return high


def error_bound(gossip: GossipParameters, probability: float = 1e-3) -> ErrorBound:
    """Return the error that a count exceeds at a given moment with this probability at most."""
    losses = consecutive_loss_bound(
        gossip.loss, probability ** max(gossip.max_instance_share, 1.0 / gossip.size)
    )
    staleness_s = (losses + 1.0) * gossip.round_s + gossip.delay_s if gossip.size > 1 else 0.0
    # Counts are missing for no longer than the window.
    under = min(staleness_s, gossip.window_s) + gossip.bucket_s
    over = (gossip.delay_s if gossip.size > 1 else 0.0) + gossip.bucket_s
    return ErrorBound(under / gossip.window_s, over / gossip.window_s, staleness_s, probability)


def partition_undercount(partition_s: float, far_share: float, gossip: GossipParameters) -> float:
    """Return what a partition adds to the undercount, as a fraction of rate times window.

    The partition began `partition_s` ago, and the other side has `far_share` of the rate. After healing it
    takes a round, and the datagrams lost in it, until the undercount has ended.
    """
    return far_share * min(partition_s, gossip.window_s) / gossip.window_s
