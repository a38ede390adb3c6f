"""What one instance says to its fellows and takes from them, with no socket and no clock."""

from __future__ import annotations

from dataclasses import replace

from plovertrail.decisions.counts import key_of
from plovertrail.decisions.fellows import Address, Fellows, Kind, Out
from plovertrail.decisions.judgements import Judgements
from plovertrail.peers.envelope import BadDatagramError, Dropped, Sent, short
from plovertrail.peers.fellows_wire import Datagram, FellowsCodec
from plovertrail.peers.gossip import told

MOST_A_PERIOD = 1_024  # datagrams that are looked at in one, from all together
HURRY_GAP_US = 20_000  # news of a server that goes wrong goes out so soon after what went out before it,
MOST_HURRIES = 5  # so often in a row, and once each `gossip` on average: at most twice the datagrams
WORDS_AT_ONCE = 12  # with a datagram, so that evidence has room as well


def teller(name: str) -> int:
    """An instance as evidence names it."""
    return key_of("fellow", name)


class Fellowship:
    """`addresses`: by which others reach us; `gossip_us`: how often news goes to `fan_out` others at random.
    Its load is bounded by these and the period, whatever the size of the fleet."""

    def __init__(
        self,
        fellows: Fellows,
        judgements: Judgements | None,
        codec: FellowsCodec,
        addresses: frozenset[Address],
        gossip_us: int,
        fan_out: int,
        now_us: int,
    ) -> None:
        self.fellows = fellows
        self.judgements = judgements
        self.codec = codec
        self.mine = frozenset(short(told(address)) for address in addresses)
        self.gossip_us = gossip_us
        self.fan_out = fan_out
        self.gossip_due_us = now_us + gossip_us
        self.gossiped_us = now_us
        self.hurries = float(MOST_HURRIES)  # in hand
        self.period_ends_us = now_us
        self.looked_at = 0
        self.sent = Sent()

    def due_us(self) -> int:
        """When to call `tick` next."""
        due_us = min(self.fellows.due_us(), self.gossip_due_us)
        if self._hurried:
            due_us = min(due_us, self.gossiped_us + HURRY_GAP_US)
        return due_us

    @property
    def _hurried(self) -> bool:
        return self.judgements is not None and self.judgements.news and self.hurries >= 1.0

    def tick(self, now_us: int) -> list[tuple[Address, bytes]]:
        """What is due by now."""
        out = self._write(self.fellows.tick(now_us), now_us)
        # hazard: a server that goes bad gets its share of all requests till the others know of it
        hurried = self._hurried and now_us >= self.gossiped_us + HURRY_GAP_US
        if hurried and now_us < self.gossip_due_us:
            self.hurries -= 1.0
        if hurried or now_us >= self.gossip_due_us:
            if now_us >= self.gossip_due_us:
                # hazard: late turns are not made up for
                self.gossip_due_us = max(self.gossip_due_us + self.gossip_us, now_us + self.gossip_us // 2)
                self.hurries = min(float(MOST_HURRIES), self.hurries + 1.0)
            self.gossiped_us = now_us
            if self.judgements is not None:
                self.judgements.sweep(now_us)
                self.judgements.news = False
                self._know_tellers(self.judgements)
            if self._has_news(now_us):
                out += self._write(
                    [Out(Kind.TELL, word.address, to=word.name) for word in self.fellows.some(self.fan_out)],
                    now_us,
                )
        return out

    def leave(self, now_us: int) -> list[tuple[Address, bytes]]:
        """It stops, and some hear of it."""
        return self._write(self.fellows.leave(), now_us)

    def stood_still(self, gap_us: int, now_us: int) -> None:
        """The process did nothing for `gap_us`, until `now_us`: neither instances nor servers are blamed for
        that time."""
        self.fellows.stood_still(gap_us, now_us)
        if self.judgements is not None:
            self.judgements.stood_still(now_us)

    def received(
        self, data: bytes, address: Address, now_us: int
    ) -> tuple[Dropped | None, list[tuple[Address, bytes]]]:
        """A datagram has come: why it was not taken, if it was not, and what is answered."""
        why, out = self._received(data, address, now_us)
        if why is None:
            self.sent.taken += 1
        else:
            self.sent.dropped[why] += 1
        return why, out

    def _received(
        self, data: bytes, address: Address, now_us: int
    ) -> tuple[Dropped | None, list[tuple[Address, bytes]]]:
        # hazard: one that floods would have us check codes all day
        if now_us >= self.period_ends_us:
            self.period_ends_us, self.looked_at = now_us + self.fellows.period_us, 0
        self.looked_at += 1
        if self.looked_at > MOST_A_PERIOD:
            return Dropped.FLOOD, []
        try:
            datagram = self.codec.read(data, self.mine)
        except BadDatagramError as error:
            return error.why, []
        fellows = self.fellows
        fellows.heard(datagram.sender, now_us)
        fellows.take(datagram.words, datagram.sender.name, now_us)
        if self.judgements is not None:
            who = teller(datagram.sender.name)
            if datagram.unwell:
                self.judgements.unwell.add(who)
            else:
                self.judgements.unwell.discard(who)
            for row in datagram.rows:
                self.judgements.take(row, now_us)
        # an answer goes where the datagram came from: the sender's own address may not be the one for us
        out = fellows.came(
            datagram.kind, datagram.number, datagram.subject, address, datagram.subject_address, now_us
        )
        return None, self._write(out, now_us)

    def _has_news(self, now_us: int) -> bool:
        if self.fellows.words:
            return True
        return self.judgements is not None and bool(self.judgements.accused(now_us))

    def _know_tellers(self, judgements: Judgements) -> None:
        """Their zones; those that are not there any more don't doubt themselves either."""
        judgements.zone = self.fellows.me.zone
        judgements.zones = {teller(name): fellow.word.zone for name, fellow in self.fellows.table.items()}
        judgements.unwell &= judgements.zones.keys()

    def _write(self, out: list[Out], now_us: int) -> list[tuple[Address, bytes]]:
        found = []
        for each in out:
            words = tuple(self.fellows.tell(WORDS_AT_ONCE, each.to))
            datagram = Datagram(
                each.kind,
                each.number,
                self.fellows.me,
                self.fellows.unwell,
                each.subject,
                each.subject_address,
                words,
            )
            if self.judgements is not None:
                datagram = replace(
                    datagram,
                    rows=tuple(
                        self.judgements.tell(
                            self.codec.room(datagram), self.fellows.size, self.fellows.unwell, now_us
                        )
                    ),
                )
            data = self.codec.write(short(told(each.address)), datagram)
            self.sent.datagrams += 1
            self.sent.octets += len(data)
            found.append((each.address, data))
        return found
