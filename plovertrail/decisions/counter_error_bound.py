"""How far a shared count may be from the truth, stated before anything is measured. Pure.

Let a key be counted at `rate` requests a second over the whole fleet (the highest rate over any span as long
as the staleness below), over a window W of buckets b. An instance sends its part to each other one every
`round`; a copy is lost with probability p, independently, and else arrives within D.

- **Undercount.** What a peer has counted since its last datagram that arrived is missing. That is as old as
  at most (G + 1) rounds + D, with G the copies lost in a row: P(G >= k) = p^k. For peers with rates r_i, the
  missing sum is at most sum r_i ((G_i + 1) round + D). Let M be the moment generating function of G; log M is
  convex and 0 at 0, so sum log M(t r_i) <= log M(t sum r_i): by Chernoff's bound no split of the rate over
  peers does worse than that of one peer with all of it, P(missing >= rate ((x + 1) round + D)) <= min over t
  of exp(-t x) M(t), M(t) = (1 - p) / (1 - p exp(t)). Where no instance has more than a part a of a key's
  rate, the worst split is over 1 / a peers, and the probability is that to the power of 1 / a.
- **Overcount.** A peer's times are mapped by its quickest datagram, so they are taken for up to D later than
  they are, and counts leave the window up to D too late: at most rate D.
- **Either way** the bucket that the window's beginning cuts counts by the part that lies in it: off by what
  it holds at most, rate b.
- **In a partition** what the other side counts is missing altogether, after at most W: its rate times the
  time since the split, at most W.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipParameters:
    """How instances talk, and what the network does to it. Times in seconds."""

    size: int  # instances
    period_s: float
    fan_out: int
    window_s: float
    bucket_s: float
    loss: float  # of datagrams, at most
    delay_s: float  # of those that arrive, at most
    keys: int = 32  # in use at once
    keys_per_datagram: int = 32
    max_instance_share: float = 1.0  # of a key's rate that one instance has

    @property
    def round_s(self) -> float:
        """Between two datagrams of one instance to another with the same key. Where not all keys fit into
        one, half of the room is for those with most change, and a key has its turn in twice the rounds."""
        turns = max(1, math.ceil((self.size - 1) / self.fan_out))
        datagrams = math.ceil(self.keys / self.keys_per_datagram)
        return turns * self.period_s * (2 * datagrams if datagrams > 1 else 1)


@dataclass(frozen=True, slots=True)
class ErrorBound:
    """In parts of rate times window; each holds at any one moment but with `probability`."""

    under: float
    over: float
    staleness_s: float  # that it allows for
    probability: float

    def counts(self, rate_per_s: float, window_s: float) -> tuple[float, float]:
        """The bounds below and above, in requests, at a fleet's rate of a key."""
        return self.under * rate_per_s * window_s, self.over * rate_per_s * window_s


def consecutive_loss_bound(loss: float, probability: float) -> float:
    """x with min over t of exp(-t x) M(t) = probability, for geometric losses; found by halving."""
    if loss <= 0.0:
        return 0.0

    def tail(x: float) -> float:
        # the best t has p e^t = x / (1 + x); where that would be below t = 0 the bound is no use: 1
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
    """What a count may be off by at any one moment, but with this probability."""
    losses = consecutive_loss_bound(
        gossip.loss, probability ** max(gossip.max_instance_share, 1.0 / gossip.size)
    )
    staleness_s = (losses + 1.0) * gossip.round_s + gossip.delay_s if gossip.size > 1 else 0.0
    # a datagram can't be missing for longer than the window
    under = min(staleness_s, gossip.window_s) + gossip.bucket_s
    over = (gossip.delay_s if gossip.size > 1 else 0.0) + gossip.bucket_s
    return ErrorBound(under / gossip.window_s, over / gossip.window_s, staleness_s, probability)


def partition_undercount(partition_s: float, far_share: float, gossip: GossipParameters) -> float:
    """Return what a partition adds to the undercount, as a fraction of rate times window.

    The partition began `partition_s` ago, and the other side has `far_share` of the rate. After healing it
    takes a round, and the datagrams lost in it, until the undercount has ended.
    """
    return far_share * min(partition_s, gossip.window_s) / gossip.window_s
