"""All decisions on requests. Its settings, events and actions: settings.py, events.py, actions.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import math
import random
from array import array
from collections import deque
from collections.abc import Callable

from plovertrail.decisions.actions import Action, CloseIdle, Fail, Log, Reject, Send, SetTimer, Subscribe
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    PeerHealthUpdated,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.fleet_limits import poll_spread_us
from plovertrail.decisions.list_calls import (
    BORNE_PER_S,
    RETRY_US,
    SILENT_US,
    UNANSWERED_US,
    longest_gap_us,
    retry_within_us,
)
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.decisions.weighted import WeightedDraw

MOST_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
INSTANT_FAULTS = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
TIMED_OUT, TURNED_AWAY, SPOILT = Outcome.TIMEOUT, Outcome.REJECTED, Outcome.MALFORMED
ANSWERED = (Outcome.OK, SPOILT)  # it has done the work, and its time tells of its load
# time-outs count too: else a slow fleet would go on being judged by its few quick answers
TIMED = (*ANSWERED, TIMED_OUT)
TELL_OF_LOAD = (*TIMED, TURNED_AWAY)
# hazard: an upstream failing a part would lose them all
REISSUED = (*INSTANT_FAULTS, SPOILT, TIMED_OUT)
FAULT_MEMORY = 4  # attempts that make up an upstream's share of faults, and the distrust of it
FAULT_SHARE = 0.35  # two faults in three attempts: more than what strikes all upstreams alike does by chance
DISTRUST_BORNE = 0.1  # at this it is drawn a quarter as often: one fault makes it a twelfth
DISTRUST_HALF_US = 10_000_000  # hazard: with next to no traffic no answer would ever end it
LEAST_DISTRUST = 0.02  # less is none
MOST_DISTRUSTED = 1 / 3  # hazard: with more of the upstreams than this, faults strike all alike
SMALLEST_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
GROWTH = 0.4  # slots a round of answers moves, by the distance from the full load; 0.8 is too rash
FULL_LOAD = 0.7  # of the slow time, where slots settle: more lets crowded upstreams choke, less refuses early
TENANT_MEMORY = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
COLD_PART = 0.6  # of what pushes a cold upstream over, were the warm ones at their limit: work comes in lumps
CALM_PART = 0.4  # of that, while the warm ones answer fast and need no help;
HELP_LOAD = 0.4  # of the slow time, where they need all of it: sooner than their slots settle
FEWEST_IN_USE = 4  # upstreams whose slots are open to a sidecar with next to no traffic
A_SECOND_EACH = 1.5  # sends a second that call for one more: fewer teach nothing, more crowd it
SLOWEST_PACE = 4.0  # an answer that takes longer beside the usual one counts as this
PACE_MEMORY = 4  # answers that make up an upstream's pace
OVERTAKEN = 4  # later sends answered before it tell an attempt that is lost from one that waits its turn
SILENCE_MEMORY = 16  # attempts of a class that make up the share of them that an upstream leaves unanswered
SILENCE_BORNE = 0.1  # at this share it is drawn a quarter as often: far more than is late by chance
MUTE = 3  # attempts of a class unanswered in a row from which on it rests there between sends
LONGEST_MUTE = 5  # as if so many
MOST_MUTE = 2 / 3  # hazard: with more upstreams than this resting the fleet is slow, and none rests
ADMIT_GAIN = 2.4  # a second of slow answers cuts what is admitted to a tenth; slower, queues fill first
LONGEST_GAP_US = 1_000_000  # between two answers that an answer counts for
EASE = 1.5  # so many times more is let in after each such time without an answer
LEAST_ADMITTED = 0.1  # hazard: where service itself has slowed, letting in less mends nothing
STALE_BORNE = 16  # stale entries that the heap of cold waits may hold besides two for each cold upstream
DRAWS = 12  # tries at random before all are gone through: most draws need one
RATE_MEMORY_US = 5_000_000
MOST_KEPT = 0.999  # of the most answers a second, at each answer: it outlasts a shortage of a minute
SHORTAGE_US = 1_000_000  # between two looks at the pace of what is served
RETRY_SHARE = 0.2  # reissues a first send earns: enough for a fifth of the fleet to fail every attempt
MOST_RETRIES = 5.0  # reissues in hand after a calm spell
LOG_GAP_US = 1_000_000  # a line a second at most, however many upstreams change
NEVER_US = 2**62  # later than any clock says


class PerSecond:
    """How often something has happened a second, of late."""

    __slots__ = ("rate", "at_us")

    def __init__(self, now_us: int) -> None:
        self.rate = 0.0
        self.at_us = now_us

    def count(self, now_us: int) -> None:
        faded = math.exp((self.at_us - now_us) / RATE_MEMORY_US)
        self.rate, self.at_us = self.rate * faded + 1_000_000 / RATE_MEMORY_US, now_us


class Pool:
    """Upstreams thinned together: all, or, where crossing zones costs, this zone's and the others'."""

    __slots__ = (
        "admitted",
        "credit",
        "load",
        "served",
        "in_use",
        "others",
        "cold",
        "groups",
        "cold_waits",
        "size",
        "sends",
        "judged_us",
        "answers",
        "most_answers",
        "kept",
        "kept_us",
    )

    def __init__(self, now_us: int) -> None:
        self.admitted = 1.0  # part of the draws that may take a slot: falls while answers are slow all over
        self.credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its answers' times of late: 1 = half the aim
        self.served = 0.0  # answers so far, and a tenth of what was admitted
        # by their numbers, with their free slots, which count less where it is slow: upstreams whose slots
        # are open, the others, whose stay closed till needed, and cold ones, which have one at their turns
        self.in_use = WeightedDraw()
        self.others = WeightedDraw()
        self.cold = WeightedDraw()
        self.groups = self.cold, self.in_use, self.others
        self.cold_waits: list[tuple[float, int]] = []  # (next_cold, number) of cold ones; a heap
        self.size = 0.0  # of all its upstreams, as listed
        self.sends = PerSecond(now_us)
        self.judged_us = now_us  # when an answer last moved what is admitted
        self.answers = PerSecond(now_us)
        self.most_answers = 0.0  # a second; it fades
        self.kept, self.kept_us = 0.0, now_us  # `served` when its pace was last looked at in a shortage

    def answered(self, now_us: int) -> None:
        """A request was served."""
        self.served += 1.0
        self.answers.count(now_us)
        self.most_answers = max(self.most_answers * MOST_KEPT, self.answers.rate)

    def turned_away(self, now_us: int) -> None:
        """A request was refused with no attempt made: `served`, by which cold upstreams have their turns,
        goes on as fast as it did at best. Hazard: warm ones that choke serve less, and cold ones beside them
        would have fewer turns the more they are needed. It is never faster than what has been served in fact,
        however much is asked; by the second, as in shorter times answers come in lumps."""
        gap_us = now_us - self.kept_us
        if gap_us < SHORTAGE_US:
            return
        if gap_us < 2 * SHORTAGE_US:
            self.served = max(self.served, self.kept + self.most_answers * gap_us / 1e6)
        self.kept, self.kept_us = self.served, now_us


class Reissues:
    """The budget of reissues; several pools of one program may share one."""

    def __init__(self) -> None:
        self.in_hand = MOST_RETRIES

    def count(self, first: bool) -> None:
        """A send: a first one earns a part of a reissue, a further one is a reissue."""
        self.in_hand = min(MOST_RETRIES, self.in_hand + (RETRY_SHARE if first else -1.0))


class Server:
    """What this sidecar knows of one upstream."""

    __slots__ = (
        "entry",
        "pool",
        "used",
        "out",
        "silence",
        "mute",
        "mute_until_us",
        "muted",
        "window",
        "rest_until_us",
        "next_cold",
        "pace",
        "slow_start",
        "faults",
        "distrust",
        "rests",
        "hearsay",
    )

    def __init__(self, entry: Endpoint, pool: Pool, classes: int) -> None:
        self.entry = entry
        self.pool = pool
        self.used = 0  # slots taken by this sidecar's sends
        self.out: list[Attempt] = []  # its attempts that have not ended, in the order of their sends
        # by class, as an upstream may be well for all but some: the share of attempts that had no answer in
        # time, smoothed; how many of late in a row; and till when the class rests there
        # hazard: lists of all these, for 10,000 upstreams, would have the collector stop all for 50 ms
        self.silence = array("d", [0.0] * classes)
        self.mute = array("b", [0] * classes)
        self.mute_until_us = array("q", [0] * classes)
        self.muted = array("b", [0] * classes)  # as counted
        self.window = 1.0  # slots open while it is well; below 1 the one slot rests between sends
        self.rest_until_us = 0
        self.next_cold = 0.0  # while it is cold, it waits till this sidecar has seen so many served
        self.pace = 1.0  # time of its answers beside those of the others, smoothed
        self.slow_start = False  # its slots open fast until its first slow answer or fault
        self.faults = 0.0  # share of its attempts that failed at once or spoilt, smoothed
        self.distrust = 0.0  # the same, counted only while few upstreams fault
        self.rests = False  # as last logged
        self.hearsay: dict[int, float] | None = None  # by class, how wrong other instances find it


class Attempt:
    __slots__ = (
        "server",
        "entry",
        "class_index",
        "sent_us",
        "overtaken",
        "passed",
        "silent",
        "lost",
        "ended",
    )

    def __init__(self, server: Server, class_index: int, now_us: int) -> None:
        self.server = server
        self.entry = server.entry  # as it was listed then
        self.class_index = class_index
        self.sent_us = now_us
        self.overtaken = 0  # answers of its upstream to what was sent later
        self.passed = False  # one of these was to its own class
        self.silent = False  # it has had no answer for longer than one takes
        self.lost = False  # and holds no slot any more
        self.ended: Outcome | None = None  # None while it is out


class Request:
    __slots__ = ("event", "useful_until_us", "attempts", "out", "done", "streaming")

    def __init__(self, event: RequestArrived, kind: RequestClass, now_us: int) -> None:
        self.event = event
        # when an answer stops being worth anything
        late_us = now_us + (kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us)
        self.useful_until_us = late_us if late_us < event.due_us else event.due_us
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts that have not ended
        self.done = self.streaming = False

    def attempts_made(self) -> int:
        return self.event.earlier_attempts + len(self.attempts)

    def first_that_may_have_run(self) -> Attempt | None:
        for attempt in self.attempts:
            if attempt.ended not in NEVER_RAN:
                return attempt
        return None


class Balancer:
    def __init__(self, settings: Settings, seed: int, now_us: int, reissues: Reissues | None = None) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}  # the ready ones, in the order listed
        # what was known of a new one before a restart (remembered.py); here nothing is
        self.recall: Callable[[Server], object] = lambda server: None
        self.mates: dict[tuple[str, int], dict[int, Server]] = {}  # of each zone and cell
        self.muted = [0 for _ in settings.classes]  # how many rest for each class
        self.mutes: list[list[tuple[int, int]]] = [[] for _ in settings.classes]  # (until, number); heaps
        self.hearsay: set[int] = set()  # upstreams that other instances find wrong
        # called with each attempt that has had no answer for longer than one takes
        self.silent: Callable[[Server, int], None] = lambda server, class_index: None
        self.rests: list[tuple[int, int]] = []  # (until, number), of rests and of warm-ups; a heap
        self.distrusted: dict[int, int] = {}  # by number, when to look again
        self.doubts: list[tuple[int, int]] = []  # (when, number); a heap
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.mean_us = [
            c.latency_objective_us / 4 for c in settings.classes
        ]  # of each class's answers; at first a guess
        # drawn from in this order; a second one where crossing zones costs
        self.pools = [Pool(now_us) for _ in range(2 if settings.cross_zone_fee > 0 else 1)]
        self.reissues = reissues or Reissues()
        self.short_us = 0  # when a request last found no free slot
        self.allowed_per_s = max(1.0, sum(t.allowance_per_s for t in settings.tenants))
        self.tenant_seen = [0.0 for _ in settings.tenants]  # arrivals of each, the old ones fading
        self.unsent = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        # by class, the attempts that are not silent yet, in the order of their sends and so of their times
        self.unheard: list[deque[Attempt]] = [deque() for _ in settings.classes]
        self.wanted_us = self.armed_us = NEVER_US  # when something is due next; the next timer asked for
        self.list_failures = 0
        self.ask_list_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.asked_list_us = now_us  # when it last was
        first_us = min(settings.max_poll_interval_us // 2, longest_gap_us(settings))
        self.ask_list_at(now_us + self.list_backoff_us(first_us))

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.now_us = now_us
        if isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = NEVER_US
            self.run_due()
        elif isinstance(event, RequestCancelled) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, StreamStarted) and event.request in self.requests:
            self.requests[event.request].streaming = True
        elif isinstance(event, EndpointsUpdated):
            self.on_list(event)
        elif isinstance(event, PeerHealthUpdated):
            self.on_hearsay(event)
        if self.buffer is not None:
            self.fill_from_buffer()
        if self.buffer is not None or self.wanted_us < self.armed_us:
            self.arm()
        actions, self.actions = self.actions, []
        return actions

    def has_room(self, now_us: int) -> bool:
        """Whether a request that is there would find a free slot; for what lets requests through to here.
        Hazard: slots open only where they were short, and what waits elsewhere must count for that."""
        self.now_us = now_us
        self.open_rested()
        if self.buffer is None and any(group.whole > 0.0 for pool in self.pools for group in pool.groups):
            return True
        self.short_us = now_us
        return False

    def next_rested_us(self) -> int:
        """When the next slot opens by time and not by an event."""
        return self.rests[0][0] if self.rests else NEVER_US

    def on_arrival(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        request = self.requests[event.request] = Request(
            event, self.settings.classes[event.class_index], self.now_us
        )
        if event.tenant < len(self.tenant_seen):
            self.tenant_seen = [seen * (1.0 - 1.0 / TENANT_MEMORY) for seen in self.tenant_seen]
            self.tenant_seen[event.tenant] += 1.0
        self.place(request)
        self.unsent += (float(not request.attempts) - self.unsent) / TENANT_MEMORY
        over = self.unsent > (0.02 if self.overloaded else 0.2)
        if over != self.overloaded and self.log("overload begins" if over else "overload ends"):
            self.overloaded = over

    def log(self, text: str) -> bool:
        if self.now_us < self.next_log_us:
            return False  # the change is told later, if it lasts
        self.next_log_us = self.now_us + LOG_GAP_US
        self.actions.append(Log(text))
        return True

    def place(self, request: Request) -> None:
        """Through a free slot, else into the buffer, else refused."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        for pool in self.pools:
            if pool.admitted < 1.0 and self.now_us - pool.judged_us > LONGEST_GAP_US:
                # hazard: with little traffic the answers that would end the thinning come too seldom
                pool.admitted, pool.judged_us = min(1.0, pool.admitted * EASE), self.now_us
            pool.credit = min(2.0, pool.credit + pool.admitted)
            pool.served += 0.1 * pool.admitted  # if all are cold, nothing else would open their slots
        server = self.draw(request)
        if server is not None:
            self.send(request, server)
            return
        self.short_us = self.now_us
        if self.may_send(request) and (self.buffer is None or self.value(request) > self.value(self.buffer)):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            if self.buffer is not None:
                self.finish(self.buffer)
            self.buffer = request
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            self.finish(request)

    def value(self, request: Request) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        The share is judged among the tenants seen here, unless the fleet's is told: of total rates a sidecar
        knows nothing."""
        s, worth = self.settings, self.class_of(request).priority_weight
        if not s.weight_by_work:
            worth /= self.mean_us[request.event.class_index]
        if request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / self.allowed_per_s
            seen = request.event.tenant_share or self.tenant_seen[request.event.tenant] / sum(
                self.tenant_seen
            )
            worth *= s.over_share_weight + (1.0 - s.over_share_weight) * min(1.0, allowed / seen)
        return worth

    def class_of(self, request: Request) -> RequestClass:
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.settings.classes[class_index].latency_objective_us // 2

    def latest_start_us(self, request: Request) -> int:
        """An attempt that starts later is not expected back in time to be of use. Hazard: after an outage
        that every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = min(self.mean_us[request.event.class_index], self.half_aim_us(request.event.class_index))
        return request.useful_until_us - int(answer_us)

    def fill_from_buffer(self) -> None:
        request = self.buffer
        server = self.draw(request) if request is not None else None
        if request is not None and server is not None:
            self.buffer = None
            self.send(request, server)

    def finish(self, request: Request) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        kind = self.class_of(request)
        harmless = (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.dedup_scope == "all")
        )
        if not request.attempts:
            for pool in self.pools:
                pool.turned_away(self.now_us)
        self.close(request)
        ident, after_us = request.event.request, self.mean_us[request.event.class_index]
        # about one answer's time, spread lest refused clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.retry_after else 0
        self.actions.append(Reject(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: Request) -> None:
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.out == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: Server) -> int:
        """How many of this sidecar's sends an upstream may have now; the one place where health lives."""
        if self.now_us < server.rest_until_us:
            return 0
        if server.entry.started_us != 0 and self.warmth(server) < 1.0:
            return int(server.pool.served >= server.next_cold)
        return int(server.window) or 1

    def judge(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool, outcome = attempt.server, attempt.server.pool, attempt.ended
        slow_us = self.half_aim_us(class_index)
        # hazard: what spoils answers and breaks connections may do so on all upstreams alike, and one such
        # fault would shut each of them; only turning work away tells at once of the upstream itself
        fault = outcome in INSTANT_FAULTS or outcome is SPOILT
        server.faults += (fault - server.faults) / FAULT_MEMORY
        if fault or server.distrust:
            self.distrust(server, fault)
        faulty = outcome is TURNED_AWAY or (fault and server.faults > FAULT_SHARE)
        if fault and not faulty and outcome is not SPOILT:
            return  # and its time tells nothing
        load = min(2.0, elapsed_us / slow_us) if outcome in ANSWERED else 2.0
        pace = SLOWEST_PACE if faulty else elapsed_us / self.mean_us[class_index]
        server.pace += (min(max(pace, 0.1), SLOWEST_PACE) - server.pace) / PACE_MEMORY
        # hazard: cold ones answer fast beside warm ones that choke, and would end the thinning these need
        if outcome in TELL_OF_LOAD and server.entry.id not in pool.cold:
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: by the sends of the last seconds alone, a sidecar with little traffic that thins it to a
            # tenth would learn too slowly that the jam is over; so an answer after a gap counts for the gap.
            # Slow ones count for no more than that: those that come in a bunch tell of one moment
            gap_us = min(self.now_us - pool.judged_us, LONGEST_GAP_US)
            pool.judged_us = self.now_us
            gain = ADMIT_GAIN * gap_us / 1e6
            if load < FULL_LOAD:
                gain = max(gain, ADMIT_GAIN / max(1.0, pool.sends.rate))
            elif pool.load <= 0.5:
                gain = 0.0
            pool.admitted *= max(0.3, 1.0 + gain * (FULL_LOAD - load))
            pool.admitted = min(1.0, max(pool.admitted, LEAST_ADMITTED))
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        step = GROWTH * (FULL_LOAD - load) / max(server.window, 1.0)
        server.slow_start = server.slow_start and step > 0.0 and not faulty
        if server.slow_start:
            # hazard: at GROWTH a sidecar that starts in a busy hour would refuse a third of the first ones
            step = 1.0 - load / FULL_LOAD
        if faulty:
            # hazard: what fails at once frees its slot at once and so would draw ever more
            server.window /= 2
        elif step < 0.0:
            # hazard: after an outage all would rest for long, so slow answers leave the one slot
            server.window = max(server.window * (1.0 + step), min(server.window, 1.0))
        # hazard: slots opened without need (none for two aims), by many sidecars above all, choke bursts
        elif server.window < 1.0 or attempt.sent_us <= self.short_us + 4 * slow_us:
            server.window += min(server.window, step)
        server.window = min(max(server.window, SMALLEST_WINDOW), float(MOST_SLOTS))
        if server.window < 1.0:
            # hazard: beside answers of seconds, short rests leave a choked upstream crowded
            self.rest(server, max(min(self.mean_us[class_index], slow_us), min(elapsed_us, 2 * slow_us)))
        # another takes its place; it may come back when its rest is over
        if server.window < 0.5 and self.use(server, False):
            self.actions.append(CloseIdle(server.entry.id))
        rests = server.window < (1.0 if server.rests else 0.25)
        change = "rests" if rests else "is back"
        if rests != server.rests and self.log(f"upstream {server.entry.id} {change}"):
            server.rests = rests

    def rest(self, server: Server, busy_us: float) -> None:
        """Its one slot stays closed for a while, by the time that it is busy with a request."""
        rest_us = busy_us * (1.0 / server.window - 1.0) * (0.5 + self.random.random())
        server.rest_until_us = self.now_us + int(rest_us)
        heapq.heappush(self.rests, (server.rest_until_us, server.entry.id))

    def distrust(self, server: Server, fault: bool) -> None:
        """Hazard: an upstream that fails a part at once takes the requests that may not be repeated; beside
        many upstreams a sidecar with little traffic sees each of them too seldom to learn it from a share. So
        the first fault counts, by the draw alone, as long as few upstreams have any."""
        if self.servers.get(server.entry.id) is not server:
            return  # hazard: what ended at one that has gone and come back would be booked to the other
        if not fault or len(self.distrusted) < MOST_DISTRUSTED * len(self.servers):
            server.distrust += (fault - server.distrust) / FAULT_MEMORY
            self.keep_distrust(server, self.now_us)

    def keep_distrust(self, server: Server, since_us: int) -> None:
        """Among the distrusted, till the next look, or not any more."""
        number = server.entry.id
        if server.distrust < LEAST_DISTRUST:
            server.distrust = 0.0
            self.distrusted.pop(number, None)
        elif number not in self.distrusted:
            self.distrusted[number] = since_us + DISTRUST_HALF_US
            heapq.heappush(self.doubts, (self.distrusted[number], number))

    def fade_distrust(self) -> None:
        """Half of it is left after a while, whether or not there was an answer to learn from."""
        while self.doubts and self.doubts[0][0] <= self.now_us:
            until_us, number = heapq.heappop(self.doubts)
            if self.distrusted.get(number) == until_us:
                server = self.servers[number]
                server.distrust /= 2.0
                del self.distrusted[number]
                self.keep_distrust(server, until_us)  # hazard: after a long calm, one step for all of it
                self.weigh(server)

    def warmth(self, server: Server) -> float:
        """Rule 4: the share of its capacity that an upstream surely has. Hazard: calling it warm any sooner
        lets in all sidecars at one moment, and together they push it over."""
        started_us = server.entry.started_us
        if started_us == 0:
            return 1.0
        s, age_us = self.settings, self.now_us - started_us
        if age_us >= s.warm_up_us:
            return 1.0
        return s.warm_up_initial_capacity + (1.0 - s.warm_up_initial_capacity) * max(0, age_us) / s.warm_up_us

    def pace_cold(self, server: Server, part: float) -> None:
        """Rule 4: a cold upstream gets its part, by warmth and size, of what this sidecar sees served by its
        pool, times what it bears of it; and the fleet serves no more than it can, however much is asked of
        it."""
        pool = server.pool
        cold = [self.servers[number] for number in pool.cold]
        whole = pool.size - sum((1.0 - self.warmth(other)) * self.size(other.entry) for other in cold)
        # hazard: beside no warm one at all no answer would tell that help is needed
        calm_part = CALM_PART if len(pool.in_use) + len(pool.others) > 0 else 1.0
        burden = min(1.0, max(calm_part, pool.load / HELP_LOAD))
        borne = min(1.0, self.warmth(server) * COLD_PART * self.settings.overload_factor * burden)
        borne *= min(1.0, server.window)  # hazard: one that turns work away may be about to fall
        server.next_cold = pool.served + part * whole / (borne * self.size(server.entry))
        heapq.heappush(pool.cold_waits, (server.next_cold, server.entry.id))
        if len(pool.cold_waits) > 2 * len(cold) + STALE_BORNE:
            # hazard: with servers that restart and next to no traffic, stale entries would pile up
            pool.cold_waits = sorted((other.next_cold, other.entry.id) for other in cold)
        self.weigh(server)

    def draw(self, request: Request) -> Server | None:
        """A random free slot, at a cold upstream whose turn has come, at one of the few that this sidecar's
        traffic needs, else at any; a busy zone spills over only what it can't take: a request thinned or
        without a slot there. Hazard: turns of cold upstreams that others' free slots outbid are lost, and the
        warm ones choke beside them."""
        if not self.may_send(request):
            return None
        self.open_rested()
        some_rest = self.muted[request.event.class_index] <= MOST_MUTE * len(self.servers)
        server = self.preferred(request, some_rest) if request.event.preferred else None
        if server is not None:
            return server
        held: Server | None = None  # taken where there is no other
        for pool in self.pools:
            while pool.cold_waits and pool.cold_waits[0][0] <= pool.served:
                self.weigh(self.servers.get(heapq.heappop(pool.cold_waits)[1]))
            groups: tuple[WeightedDraw, ...] = pool.groups
            # hazard: each sidecar connected to each upstream fills their tables of connections
            few = len(pool.in_use) < FEWEST_IN_USE + int(pool.sends.rate / A_SECOND_EACH)
            if pool.credit < 1.0:
                groups = (pool.cold,)  # they have their turns, and are not what is slow
            elif few and pool.others.whole > 0.0:
                groups = pool.cold, pool.others, pool.in_use
            for group in groups:
                server = self.pick(request, group, some_rest) if group.whole > 0.0 else None
                if server is None:
                    continue
                # hazard: a group of one that others find wrong has it drawn whatever they say
                if server.hearsay and held is None and request.event.class_index in server.hearsay:
                    held = server
                    continue
                return server
        return held

    def preferred(self, request: Request, some_rest: bool) -> Server | None:
        """A first attempt's own choice, if it could take it by chance as well. Hazard: one that fails must
        not get the repeats too."""
        for number in request.event.preferred if not request.attempts else ():
            server = self.servers.get(number)
            if server is not None and server.pool.credit >= 1.0 and self.share(server) > 0.0:
                heard = self.doubtful(server, request.event.class_index) < SILENCE_BORNE
                if heard and self.fits(request, server, some_rest):
                    return server
        return None

    def pick(self, request: Request, group: WeightedDraw, some_rest: bool) -> Server | None:
        """One of a group, in proportion to its free slots: drawn by what holds for all requests, and taken
        with the part that is left of it for this one. Few draws miss; then all are gone through."""
        index, first = request.event.class_index, request.first_that_may_have_run()
        tried = [attempt.server for attempt in request.attempts] if request.attempts else ()
        kind = self.settings.classes[index]
        grouped = first is not None and kind.effect == "deduplicated" and kind.dedup_scope != "all"
        for _ in range(0 if grouped else DRAWS):
            number = group.draw(self.random.random())
            if number is None:
                return None
            server = self.servers[number]
            if server not in tried and self.fits(request, server, some_rest):
                silence = self.doubtful(server, index)
                if silence <= 0.0 or self.random.random() * (1.0 + silence / SILENCE_BORNE) ** 2 < 1.0:
                    return server
        found = []
        for server in (
            self.drops_repeats(kind, first, group)
            if first is not None and grouped
            else [self.servers[number] for number in group]
        ):
            share = self.share(server)
            if share > 0.0 and self.fits(request, server, some_rest):
                found.append((server, share / (1.0 + self.doubtful(server, index) / SILENCE_BORNE) ** 2))
        found = [pair for pair in found if pair[0] not in tried] or found
        return self.random.choices(found, [share for _, share in found])[0][0] if found else None

    def doubtful(self, server: Server, class_index: int) -> float:
        """How much less an upstream is drawn for a class: by what it left unanswered here, and by hearsay."""
        heard = server.hearsay.get(class_index, 0.0) if server.hearsay else 0.0
        return server.silence[class_index] + heard

    def fits(self, request: Request, server: Server, some_rest: bool) -> bool:
        """Whether an upstream with a free slot may have this request now."""
        resting = some_rest and self.now_us < server.mute_until_us[request.event.class_index]
        return not resting and server.entry.id not in request.event.excluded

    def drops_repeats(self, kind: RequestClass, first: Attempt, group: WeightedDraw) -> list[Server]:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats."""
        place = first.entry.zone if kind.dedup_scope == "zone" else first.entry.cell
        mates = self.mates.get((kind.dedup_scope, place), {})
        return [server for number, server in mates.items() if number in group]

    def share(self, server: Server) -> float:
        """The weight of an upstream in the draw: its free slots, which count less where it is slow."""
        slots = self.open_slots(server) - server.used
        if slots <= 0:
            return 0.0
        size = server.entry.weight if self.settings.select_by_weight else 1.0
        return slots * size / (server.pace * (1.0 + server.distrust / DISTRUST_BORNE)) ** 2

    def size(self, entry: Endpoint) -> float:
        """What an upstream does beside the others once it is warm, as far as the list tells."""
        return entry.weight if self.settings.weighted else 1.0

    def weigh(self, server: Server | None) -> None:
        """Its weight follows what has changed."""
        if server is not None and self.servers.get(server.entry.id) is server:
            pool, number, share = server.pool, server.entry.id, self.share(server)
            if not pool.cold.change(number, share) and not pool.in_use.change(number, share):
                pool.others.set(number, share)

    def use(self, server: Server, use: bool) -> bool:
        """Its slots open, or close till they are needed; whether that is a change. Hazard: one that has gone
        and come back is another server under the same number."""
        pool, number = server.pool, server.entry.id
        if self.servers.get(number) is not server or number in pool.cold or (number in pool.in_use) == use:
            return False
        come, go = (pool.in_use, pool.others) if use else (pool.others, pool.in_use)
        go.discard(number)
        come.set(number, self.share(server))
        return True

    def open_rested(self) -> None:
        """Rests and warm-ups that are over by now."""
        if self.doubts:
            self.fade_distrust()
        while self.rests and self.rests[0][0] <= self.now_us:
            server = self.servers.get(heapq.heappop(self.rests)[1])
            if server is not None:
                if self.warmth(server) >= 1.0 and server.entry.id in server.pool.cold:
                    server.pool.cold.discard(server.entry.id)
                    # hazard: with half of a fleet new all sidecars would crowd the old ones, each known to it
                    # and slow but with a slot free, and what it saw the new ones answer faster would be lost
                    if server.pace < 1.0:
                        self.use(server, True)
                self.weigh(server)
        for index, heap in enumerate(self.mutes):
            while heap and heap[0][0] <= self.now_us:
                server = self.servers.get(heapq.heappop(heap)[1])
                if server is not None and server.mute_until_us[index] <= self.now_us:
                    self.mute(server, index, 0)

    def mute(self, server: Server, index: int, until_us: int) -> None:
        """It rests for a class until then; 0 ends that."""
        server.mute_until_us[index] = until_us
        if self.servers.get(server.entry.id) is server:
            self.muted[index] += (until_us > 0) - server.muted[index]
            server.muted[index] = until_us > 0
            if until_us > 0:
                heapq.heappush(self.mutes[index], (until_us, server.entry.id))

    def forget(self, number: int) -> None:
        """Rule 3: forgotten the moment we are told."""
        server = self.servers.pop(number, None)
        if server is not None:
            pool = server.pool
            for group in pool.groups:
                group.discard(number)
            pool.size -= self.size(server.entry)
            self.distrusted.pop(number, None)
            self.muted = [count - muted for count, muted in zip(self.muted, server.muted, strict=True)]
            self.leave_mates(server)

    def leave_mates(self, server: Server) -> None:
        for place in (("zone", server.entry.zone), ("cell", server.entry.cell)):
            mates = self.mates.get(place, {})
            mates.pop(server.entry.id, None)
            if not mates:
                self.mates.pop(place, None)

    def may_send(self, request: Request) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        event = request.event
        if request.done or request.streaming or self.now_us >= event.due_us:
            return False
        left = self.settings.max_attempts if event.attempts_left is None else event.attempts_left
        if len(request.attempts) >= left:
            return False
        if request.out > 0 and not self.settings.hedging:
            return False
        if not request.attempts:
            return True
        first = request.first_that_may_have_run()
        kind = self.settings.classes[event.class_index]
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_us < kind.dedup_window_us

    def send(self, request: Request, server: Server) -> None:
        if self.warmth(server) < 1.0:
            self.pace_cold(server, 1.0)
        server.used += 1
        pool = server.pool
        pool.credit = pool.credit - 1.0 if pool.credit > 1.0 else 0.0
        pool.sends.count(self.now_us)
        if server.entry.id not in pool.in_use:
            self.use(server, True)
        self.weigh(server)
        self.reissues.count(first=request.attempts_made() == 0)
        attempt = Attempt(server, request.event.class_index, self.now_us)
        request.attempts.append(attempt)
        request.out += 1
        server.out.append(attempt)
        index = attempt.class_index
        if not self.settings.classes[index].stream:
            self.unheard[index].append(attempt)
            silent_us = self.now_us + self.silent_after_us(index)
            if silent_us < self.wanted_us:
                self.wanted_us = silent_us
        self.actions.append(
            Send(
                request.event.request,
                server.entry.id,
                self.timeout_us(request),
                self.repeat_within_us(request),
            )
        )
        if self.settings.hedging and self.class_of(request).effect != "at_most_once":
            # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * self.mean_us[index]), self.half_aim_us(index))
            self.wake(self.now_us + after_us, "copy", request.event.request)

    def silent_after_us(self, class_index: int) -> int:
        """Few answers take longer than the aim, unless the upstream is slow to all. Hazard: sooner, what
        an overload makes slow would be taken for lost."""
        return self.settings.classes[class_index].latency_objective_us

    def on_silence(self, attempt: Attempt) -> None:
        """It has had no answer for longer than one takes. Hazard: an upstream, or what lies before it, may
        never answer a part of the requests (dropped, stuck on a lock, bound for a dead shard) or all of a
        class and be well for the others: one that may not be repeated is lost there, and the time-out tells
        of it only after many usual answer times. So the upstream is drawn less for that class, and only now
        and then once it left some in a row unanswered; this holds for one that says nothing at all, too. It
        could do harm where a class is slow by nature and seldom: its late answers then send it elsewhere."""
        server, index = attempt.server, attempt.class_index
        attempt.silent = True
        self.silent(server, index)
        server.silence[index] += (1.0 - server.silence[index]) / SILENCE_MEMORY
        if not attempt.passed:
            server.mute[index] = min(server.mute[index] + 1, LONGEST_MUTE)
            if server.mute[index] >= MUTE:
                usual_us = self.silent_after_us(index) * (0.5 + self.random.random())
                self.mute(server, index, self.now_us + int(usual_us * 2 ** (server.mute[index] - 1)))
        self.give_up_slot(attempt)

    def give_up_slot(self, attempt: Attempt) -> None:
        """Frees the slot of a silent attempt that is lost: its upstream answers what was sent later. Hazard:
        each of the few that are never answered would hold a slot to its deadline, many usual answer times,
        till all slots are held and all else is refused. The attempt itself stays out, as its answer may still
        be of use. Nothing can overtake what holds the only slot: so each upstream may
        have one lost on suspicion while others answer fast. A slow or silent one, or fleet, frees no more.
        It could do harm where an upstream serves by priority or shares out its time, and really has in work
        what was overtaken: it then gets up to twice the slots."""
        server = attempt.server
        proven = attempt.overtaken >= OVERTAKEN
        lost = [other for other in server.out if other.lost]
        suspected = server.pool.load < FULL_LOAD and all(other.overtaken >= OVERTAKEN for other in lost)
        if (proven or suspected) and len(lost) < max(1, int(server.window)):
            attempt.lost = True
            server.used -= 1
            self.weigh(server)

    def timeout_us(self, request: Request) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, request.useful_until_us - self.now_us)
        once = self.class_of(request).effect == "at_most_once"
        if self.settings.hedging or once or self.reissues.in_hand < 1.0:
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_us[index]), self.half_aim_us(index), 4 * known_us))

    def repeat_within_us(self, request: Request) -> int:
        """Rule 2: for how long the attempt that begins now would be dropped as a repeat; 0: it needs not be.
        Hazard: its connection may take so long to come up that the group has forgotten the first."""
        kind, first = self.class_of(request), request.first_that_may_have_run()
        if kind.effect != "deduplicated" or first is None or first is request.attempts[-1]:
            return 0
        return max(1, first.sent_us + kind.dedup_window_us - self.now_us)

    def send_copy(self, request: Request) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.out == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].server:
                self.send(request, server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempts = request.attempts[event.attempt : event.attempt + 1] if request is not None else []
        if request is None or not attempts or attempts[0].ended is not None:
            return
        attempt = attempts[0]
        attempt.ended = event.outcome
        request.out -= 1
        server = attempt.server
        server.used -= int(not attempt.lost)
        place = server.out.index(attempt)
        earlier = server.out[:place]
        del server.out[place]
        # hazard: what others overtook tells nothing of the load; judged by it, an upstream that leaves some
        # unanswered would be cut to one slot, and its time would be that of no answer
        lost = (attempt.lost or attempt.overtaken > 0) and event.outcome is TIMED_OUT
        if not lost:
            self.judge(attempt, event.elapsed_us, request.event.class_index)
        self.weigh(server)
        if event.outcome in ANSWERED:
            server.pool.answered(self.now_us)
            index = attempt.class_index
            server.silence[index] -= server.silence[index] / SILENCE_MEMORY
            server.mute[index] = 0
            if server.mute_until_us[index]:
                self.mute(server, index, 0)
            for other in earlier:
                other.overtaken += 1
                other.passed |= other.class_index == index
                if other.silent and not other.lost:
                    self.give_up_slot(other)
        if event.outcome in TIMED and not lost:
            index, mean_us = request.event.class_index, self.mean_us[request.event.class_index]
            elapsed_us = min(event.elapsed_us, 2 * self.half_aim_us(index))
            self.mean_us[index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
        if event.final or request.done:
            self.close(request)
        elif request.out == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in REISSUED and self.may_send(request) and self.reissues.in_hand >= 1.0:
                self.place(request)
            else:
                self.finish(request)

    def on_list(self, event: EndpointsUpdated) -> None:
        if event.kind is ListKind.FAILED:
            self.list_failures += 1
            since_us = self.now_us
            if event.watch_stalled:
                since_us -= SILENT_US
            elif self.ask_list_us != 0:  # no subscription was up: a call has failed
                since_us = self.asked_list_us
            within_us = retry_within_us(self.settings, since_us, self.now_us)
            self.ask_list_at(self.now_us + self.list_backoff_us(within_us))
            return
        if event.kind is not ListKind.CACHED:
            self.list_failures = self.ask_list_us = 0
        if event.kind is not ListKind.DELTA and not event.partial:
            for number in self.servers.keys() - {entry.id for entry in event.endpoints}:
                self.forget(number)
        self.open_rested()  # hazard: without a draw nothing else would take off what is over
        new, restarted = [], []
        for entry in event.endpoints:
            if entry.state is not EndpointStatus.READY:
                self.forget(entry.id)
                continue
            away = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
            pool = self.pools[int(away)]
            server = self.servers.get(entry.id)
            if server is None:
                server = self.servers[entry.id] = Server(entry, pool, len(self.mean_us))
                new.append(server)
            else:
                server.pool.size -= self.size(server.entry)
            server.pool.size += self.size(entry)
            server.slow_start |= event.kind is ListKind.CACHED
            if server.entry.started_us != entry.started_us or server.next_cold == 0:
                restarted.append(server)
            self.leave_mates(server)
            server.entry = entry
            for place in (("zone", entry.zone), ("cell", entry.cell)):
                self.mates.setdefault(place, {})[entry.id] = server
            if self.warmth(server) < 1.0:
                for group in (server.pool.in_use, server.pool.others):
                    group.discard(entry.id)
                server.pool.cold.set(entry.id, 0.0)
                heapq.heappush(self.rests, (entry.started_us + self.settings.warm_up_us, entry.id))
            else:
                server.pool.cold.discard(entry.id)
            self.weigh(server)
        for server in restarted:
            if self.warmth(server) < 1.0:  # all sidecars hear of it within moments: no burst of first sends
                self.pace_cold(server, self.random.random())
        for server in new:
            self.recall(server)

    def on_hearsay(self, event: PeerHealthUpdated) -> None:
        """Other instances find upstreams wrong: these are drawn less, and never shut. Hazard: whatever they
        say, it may be wrong; so of each class no more than a third is drawn less, the worst ones."""
        for number in self.hearsay:
            if number in self.servers:
                self.servers[number].hearsay = None
        self.hearsay = set()
        most = int(MOST_DISTRUSTED * len(self.servers))
        left = [most] * len(self.settings.classes)
        for (number, index), part in sorted(event.penalties.items(), key=lambda each: -each[1]):
            server = self.servers.get(number)
            if server is not None and index < len(left) and left[index] > 0 and part > 0.0:
                left[index] -= 1
                server.hearsay = (server.hearsay or {}) | {index: min(1.0, part)}
                self.hearsay.add(number)

    def list_backoff_us(self, longest_us: int) -> int:
        """Backoff with full jitter: this sidecar's turn, at random, among all that ask for the list at one
        moment, as after a restart of the fleet or of discovery; the span doubles with each failure. Hazard:
        calls that come faster than discovery answers all fail, and what has waited in vain is work for it all
        the same."""
        s = self.settings
        span_us = poll_spread_us(s.instances, s.discovery_rate_per_s or BORNE_PER_S)
        if self.list_failures:
            span_us = max(RETRY_US, span_us) * 2 ** min(self.list_failures - 1, 20)
        return int(min(span_us, longest_us) * self.random.random())

    def ask_list_at(self, at_us: int) -> None:
        if self.settings.endpoints_on_request:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Asks again if no answer comes: a call that is lost must not leave us without a list (rule 3)."""
        if self.ask_list_us != 0 and self.now_us >= self.ask_list_us:
            self.asked_list_us = self.now_us
            self.actions.append(Subscribe(True))
            self.ask_list_at(self.now_us + max(UNANSWERED_US, self.settings.max_poll_interval_us // 2))

    def wake(self, at_us: int, what: str, ident: int) -> None:
        at_us = max(at_us, self.now_us + 1)
        heapq.heappush(self.wakeups, (at_us, what, ident))
        self.wanted_us = min(self.wanted_us, at_us)

    def arm(self) -> None:
        at_us = self.wanted_us
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            index = self.buffer.event.class_index
            self.open_rested()
            at_us = min(at_us, *(heap[0][0] for heap in (self.rests, self.mutes[index]) if heap), NEVER_US)
        if at_us < self.armed_us:
            self.armed_us = at_us
            self.actions.append(SetTimer(at_us, 0))

    def run_due(self) -> None:
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident = heapq.heappop(self.wakeups)
            if what == "list":
                self.ask_list()
            elif what == "copy" and ident in self.requests:
                self.send_copy(self.requests[ident])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer)
        self.wanted_us = self.wakeups[0][0] if self.wakeups else NEVER_US
        for index, unheard in enumerate(self.unheard):
            after_us = self.silent_after_us(index)
            while unheard and (unheard[0].ended is not None or unheard[0].sent_us + after_us <= self.now_us):
                attempt = unheard.popleft()
                if attempt.ended is None:
                    self.on_silence(attempt)
            if unheard:
                self.wanted_us = min(self.wanted_us, unheard[0].sent_us + after_us)
