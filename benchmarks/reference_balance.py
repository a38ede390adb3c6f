"""All decisions on requests. Its settings, events and actions: settings.py, events.py, actions.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import math
import random

from plovertrail.decisions.actions import Action, CloseIdle, Fail, Log, Reject, Send, SetTimer, Subscribe
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.settings import RequestClass, Settings

MOST_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
INSTANT_FAULTS = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
ANSWERED = (Outcome.OK, Outcome.MALFORMED)  # it has done the work, and its time tells of its load
# hazard: an upstream failing a part would lose them all
REISSUED = (*INSTANT_FAULTS, Outcome.MALFORMED, Outcome.TIMEOUT)
FAULT_MEMORY = 4  # attempts that make up an upstream's share of faults
FAULT_SHARE = 0.35  # two faults in three attempts: more than what strikes all upstreams alike does by chance
SMALLEST_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
GROWTH = 0.4  # slots a round of answers moves, by the distance from the full load; 0.8 is too rash
FULL_LOAD = 0.7  # of the slow time, where slots settle: more lets crowded upstreams choke, less refuses early
TENANT_MEMORY = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
COLD_CARE = 1.3  # a cold upstream gets so many times less than its part: its work comes in lumps
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
LEAST_ADMITTED = 0.1  # hazard: where service itself has slowed, letting in less mends nothing
RATE_MEMORY_US = 5_000_000
RETRY_SHARE = 0.2  # reissues a first send earns: enough for a fifth of the fleet to fail every attempt
MOST_RETRIES = 5.0  # reissues in hand after a calm spell
LOG_GAP_US = 1_000_000  # a line a second at most, however many upstreams change
FIRST_RETRY_US = 250_000  # discovery back-off starts here: long beside one call, short beside a drain


class WarmUp:
    """What the turns of cold upstreams are counted in."""

    def __init__(self) -> None:
        self.progress = 0.0  # answers so far, and a tenth of what was admitted


class Pool:
    """Upstreams thinned together: all, or, where crossing zones costs, this zone's and the others'."""

    def __init__(self, now_us: int) -> None:
        self.admitted = 1.0  # part of the draws that may take a slot: falls while answers are slow all over
        self.credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its answers' times of late: 1 = half the aim
        self.warm_up = WarmUp()
        self.in_use: list[Server] = []  # upstreams whose slots are open; the others' stay closed till needed
        self.rate = 0.0  # sends a second, of late
        self.rated_us = now_us


class Reissues:
    """The budget of reissues; several pools of one program may share one."""

    def __init__(self) -> None:
        self.in_hand = MOST_RETRIES

    def count(self, first: bool) -> None:
        """A send: a first one earns a part of a reissue, a further one is a reissue."""
        self.in_hand = min(MOST_RETRIES, self.in_hand + (RETRY_SHARE if first else -1.0))


class Server:
    """What this sidecar knows of one upstream."""

    def __init__(self, entry: Endpoint, pool: Pool, classes: int) -> None:
        self.listed = entry
        self.group = pool
        self.in_flight = 0  # slots taken by this sidecar's sends
        self.attempts: list[Attempt] = []  # its attempts that have not ended, in the order of their sends
        # by class, as an upstream may be well for all but some: the share of attempts that had no answer in
        # time, smoothed; how many of late in a row; and till when the class rests there
        self.no_response_rate = [0.0] * classes
        self.consecutive_no_response = [0] * classes
        self.excluded_until_us = [0] * classes
        self.concurrency_limit = 1.0  # slots open while it is well; below 1 the one slot rests between sends
        self.ejected_until_us = 0
        self.next_warm_up_send = 0.0  # while it is cold, it waits till this sidecar has seen so many served
        self.relative_latency = 1.0  # time of its answers beside those of the others, smoothed
        self.fast_growth = False  # its slots open fast until its first slow answer or fault
        self.fault_rate = 0.0  # share of its attempts that failed at once or spoilt, smoothed
        self.logged_as_ejected = False  # as last logged


class Attempt:
    """An attempt that was sent to a server, and what has been seen of it."""

    def __init__(self, server: Server, class_index: int, now_us: int) -> None:
        self.endpoint = server
        self.listed = server.listed  # as it was listed then
        self.class_index = class_index
        self.sent_at_us = now_us
        self.later_answered = 0  # answers of its upstream to what was sent later
        self.later_answered_in_class = False  # one of these was to its own class
        self.no_response = False  # it has had no answer for longer than one takes
        self.slot_released = False  # and holds no slot any more
        self.outcome: Outcome | None = None  # None while it is out


class Request:
    """A request with its attempts."""

    def __init__(self, event: RequestArrived, now_us: int) -> None:
        self.event = event
        self.arrived_us = now_us
        self.attempts: list[Attempt] = []
        self.is_closed = self.is_streaming = False

    def out(self) -> int:
        """How many attempts have not ended."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def attempts_made(self) -> int:
        """All attempts so far, those of other pools included."""
        return self.event.earlier_attempts + len(self.attempts)

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that may have had an effect; None if all are known not to have run."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)


class Balancer:
    """The decision module as it was when this reference was taken; what costs are measured against."""

    def __init__(self, settings: Settings, seed: int, now_us: int, reissues: Reissues | None = None) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}  # the ready ones, in the order listed
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.mean_us = [
            c.latency_objective_us / 4 for c in settings.classes
        ]  # of each class's answers; at first a guess
        self.pools = [Pool(now_us), Pool(now_us)]  # drawn from in this order; the second may stay empty
        self.reissues = reissues or Reissues()
        self.short_us = 0  # when a request last found no free slot
        self.allowed_per_s = max(1.0, sum(t.allowance_per_s for t in settings.tenants))
        self.tenant_seen = [0.0 for _ in settings.tenants]  # arrivals of each, the old ones fading
        self.unsent = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int, int]] = []  # (when, what, request, attempt); a heap
        self.armed_us = self.list_failures = 0  # armed: the next timer already asked for; 0 = none
        self.ask_list_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.ask_list_at(now_us)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take an event at a time in us, and return the actions."""
        self.now_us = now_us
        if isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, RequestCancelled) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, StreamStarted) and event.request in self.requests:
            self.requests[event.request].is_streaming = True
        elif isinstance(event, EndpointsUpdated):
            self.on_list(event)
        self.fill_from_buffer()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: RequestArrived) -> None:
        """A request has come: send it, keep it in the buffer, or refuse it."""
        if event.request in self.requests:
            return
        request = self.requests[event.request] = Request(event, self.now_us)
        if event.tenant < len(self.tenant_seen):
            self.tenant_seen = [seen * (1.0 - 1.0 / TENANT_MEMORY) for seen in self.tenant_seen]
            self.tenant_seen[event.tenant] += 1.0
        self.place(request)
        self.unsent += (float(not request.attempts) - self.unsent) / TENANT_MEMORY
        over = self.unsent > (0.02 if self.overloaded else 0.2)
        if over != self.overloaded and self.log("overload begins" if over else "overload ends"):
            self.overloaded = over

    def log(self, text: str) -> bool:
        """Write a line to the log, unless one was written a moment ago; whether it was written."""
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
            pool.credit = min(pool.credit + pool.admitted, 2.0)
            pool.warm_up.progress += (
                0.1 * pool.admitted
            )  # if all are cold, nothing else would open their slots
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
        The share is judged among the tenants seen here: of total rates a sidecar knows nothing."""
        s, worth = self.settings, self.class_of(request).priority_weight
        if not s.weight_by_work:
            worth /= self.mean_us[request.event.class_index]
        if request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / self.allowed_per_s
            seen = self.tenant_seen[request.event.tenant] / sum(self.tenant_seen)
            worth *= s.over_share_weight + (1.0 - s.over_share_weight) * min(1.0, allowed / seen)
        return worth

    def class_of(self, request: Request) -> RequestClass:
        """The settings of a request's class."""
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.settings.classes[class_index].latency_objective_us // 2

    def useful_until_us(self, request: Request) -> int:
        """When an answer stops being worth anything."""
        kind = self.class_of(request)
        late = kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us
        return min(request.event.due_us, request.arrived_us + late)

    def latest_start_us(self, request: Request) -> int:
        """An attempt that starts later is not expected back in time to be of use. Hazard: after an outage
        that every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = min(self.mean_us[request.event.class_index], self.half_aim_us(request.event.class_index))
        return self.useful_until_us(request) - int(answer_us)

    def fill_from_buffer(self) -> None:
        """Send the request that waits in the buffer, if a server is free for it."""
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
        self.close(request)
        ident, after_us = request.event.request, self.mean_us[request.event.class_index]
        # about one answer's time, spread lest refused clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.retry_after else 0
        self.actions.append(Reject(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: Request) -> None:
        """The request has its final answer; it is forgotten once no attempt is out."""
        request.is_closed = True
        if self.buffer is request:
            self.buffer = None
        if request.out() == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: Server) -> int:
        """How many of this sidecar's sends an upstream may have now; the one place where health lives."""
        cold = self.warmth(server) < 1.0
        if self.now_us < server.ejected_until_us or (
            cold and server.group.warm_up.progress < server.next_warm_up_send
        ):
            return 0
        return 1 if cold else max(1, int(server.concurrency_limit))

    def judge(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool, outcome = attempt.endpoint, attempt.endpoint.group, attempt.outcome
        slow_us = self.half_aim_us(class_index)
        # hazard: what spoils answers and breaks connections may do so on all upstreams alike, and one such
        # fault would shut each of them; only turning work away tells at once of the upstream itself
        fault = outcome in INSTANT_FAULTS or outcome is Outcome.MALFORMED
        server.fault_rate += (float(fault) - server.fault_rate) / FAULT_MEMORY
        faulty = outcome is Outcome.REJECTED or (fault and server.fault_rate > FAULT_SHARE)
        if fault and not faulty and outcome is not Outcome.MALFORMED:
            return  # and its time tells nothing
        load = min(2.0, elapsed_us / slow_us) if outcome in ANSWERED else 2.0
        pace = SLOWEST_PACE if faulty else elapsed_us / self.mean_us[class_index]
        server.relative_latency += (min(max(pace, 0.1), SLOWEST_PACE) - server.relative_latency) / PACE_MEMORY
        if outcome in (*ANSWERED, Outcome.TIMEOUT, Outcome.REJECTED):
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            gain = ADMIT_GAIN / max(1.0, pool.rate) if load < FULL_LOAD or pool.load > 0.5 else 0.0
            pool.admitted *= max(0.3, 1.0 + gain * (FULL_LOAD - load))
            pool.admitted = min(1.0, max(pool.admitted, LEAST_ADMITTED))
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        step = GROWTH * (FULL_LOAD - load) / max(server.concurrency_limit, 1.0)
        server.fast_growth = server.fast_growth and step > 0.0 and not faulty
        if server.fast_growth:
            # hazard: at GROWTH a sidecar that starts in a busy hour would refuse a third of the first ones
            step = 1.0 - load / FULL_LOAD
        if faulty:
            # hazard: what fails at once frees its slot at once and so would draw ever more
            server.concurrency_limit /= 2
        elif step < 0.0:
            # hazard: after an outage all would rest for long, so slow answers leave the one slot
            server.concurrency_limit = max(
                server.concurrency_limit * (1.0 + step), min(server.concurrency_limit, 1.0)
            )
        # hazard: slots opened without need (none for two aims), by many sidecars above all, choke bursts
        elif server.concurrency_limit < 1.0 or attempt.sent_at_us <= self.short_us + 4 * slow_us:
            server.concurrency_limit += min(server.concurrency_limit, step)
        server.concurrency_limit = min(max(server.concurrency_limit, SMALLEST_WINDOW), float(MOST_SLOTS))
        if server.concurrency_limit < 1.0:
            # hazard: beside answers of seconds, short rests leave a choked upstream crowded
            busy_us = max(min(self.mean_us[class_index], slow_us), min(elapsed_us, 2 * slow_us))
            rest_us = busy_us * (1.0 / server.concurrency_limit - 1.0) * (0.5 + self.random.random())
            server.ejected_until_us = self.now_us + int(rest_us)
        if server.concurrency_limit < 0.5 and server in pool.in_use:
            pool.in_use.remove(server)  # another takes its place; it may come back when its rest is over
            self.actions.append(CloseIdle(server.listed.id))
        rests = server.concurrency_limit < (1.0 if server.logged_as_ejected else 0.25)
        change = "rests" if rests else "is back"
        if rests != server.logged_as_ejected and self.log(f"upstream {server.listed.id} {change}"):
            server.logged_as_ejected = rests

    def warmth(self, server: Server) -> float:
        """Rule 4: the share of its capacity that an upstream surely has. Hazard: calling it warm any sooner
        lets in all sidecars at one moment, and together they push it over."""
        s, age_us = self.settings, self.now_us - server.listed.started_us
        if server.listed.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.warm_up_initial_capacity + (1.0 - s.warm_up_initial_capacity) * max(0, age_us) / s.warm_up_us

    def pace_cold(self, server: Server, part: float) -> None:
        """Rule 4: a cold upstream gets its part, by warmth, of what this sidecar sees served by its pool; and
        the fleet serves no more than it can, however much is asked of it."""
        whole = sum(self.warmth(other) for other in self.servers.values() if other.group is server.group)
        server.next_warm_up_send = server.group.warm_up.progress + part * COLD_CARE * whole / self.warmth(
            server
        )

    def draw(self, request: Request) -> Server | None:
        """A random free slot, at one of the few upstreams that this sidecar's traffic needs, else at any; a
        busy zone spills over only what it can't take: a request thinned or without a slot there."""
        index = request.event.class_index
        resting = sum(1 for s in self.servers.values() if self.now_us < s.excluded_until_us[index])
        some_rest = resting <= MOST_MUTE * len(self.servers)
        for pool in self.pools if self.may_send(request) else []:
            if pool.credit >= 1.0:
                best = self.free_slots(request, pool.in_use, some_rest)
                if not best or len(pool.in_use) < FEWEST_IN_USE + int(pool.rate / A_SECOND_EACH):
                    # hazard: each sidecar connected to each upstream fills their tables of connections
                    others = [s for s in self.servers.values() if s.group is pool and s not in pool.in_use]
                    best = self.free_slots(request, others, some_rest) or best
                if best:
                    return self.random.choices(best, [share for _, share in best])[0][0]
        return None

    def free_slots(
        self, request: Request, servers: list[Server], some_rest: bool
    ) -> list[tuple[Server, float]]:
        """The upstreams with a slot free for it, each with its slots, which count less where it is slow."""
        tried = [attempt.endpoint for attempt in request.attempts]
        index = request.event.class_index
        by_weight, first = self.settings.select_by_weight, request.first_that_may_have_run()
        found = []
        for server in servers:
            slots = self.open_slots(server) - server.in_flight
            if slots <= 0 or (some_rest and self.now_us < server.excluded_until_us[index]):
                continue
            if server.listed.id in request.event.excluded:
                continue
            if first is None or self.in_group(request, first, server):
                size = server.listed.weight if by_weight else 1.0
                share = (
                    slots
                    * size
                    / (server.relative_latency * (1.0 + server.no_response_rate[index] / SILENCE_BORNE)) ** 2
                )
                found.append((server, share))
        return [pair for pair in found if pair[0] not in tried] or found

    def may_send(self, request: Request) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        if request.is_closed or request.is_streaming or self.now_us >= request.event.due_us:
            return False
        left = request.event.attempts_left
        if len(request.attempts) >= (self.settings.max_attempts if left is None else left):
            return False
        if request.out() > 0 and not self.settings.hedging:
            return False
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_at_us < kind.dedup_window_us

    def in_group(self, request: Request, first: Attempt, server: Server) -> bool:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats."""
        kind = self.class_of(request)
        if kind.effect != "deduplicated" or kind.dedup_scope == "all":
            return True
        if kind.dedup_scope == "zone":
            return first.listed.zone == server.listed.zone
        return first.listed.cell == server.listed.cell

    def send(self, request: Request, server: Server) -> None:
        """Send an attempt of a request to a server."""
        if self.warmth(server) < 1.0:
            self.pace_cold(server, 1.0)
        server.in_flight += 1
        pool = server.group
        pool.credit = max(0.0, pool.credit - 1.0)
        faded = math.exp((pool.rated_us - self.now_us) / RATE_MEMORY_US)
        pool.rate, pool.rated_us = pool.rate * faded + 1_000_000 / RATE_MEMORY_US, self.now_us
        if server not in pool.in_use:
            pool.in_use.append(server)
        self.reissues.count(first=request.attempts_made() == 0)
        attempt = Attempt(server, request.event.class_index, self.now_us)
        request.attempts.append(attempt)
        server.attempts.append(attempt)
        silent_us = self.now_us + self.silent_after_us(attempt.class_index)
        self.wake(silent_us, "silence", request.event.request, len(request.attempts) - 1)
        self.actions.append(Send(request.event.request, server.listed.id, self.timeout_us(request)))
        if self.settings.hedging and self.class_of(request).effect != "at_most_once":
            index = request.event.class_index  # soon enough to be back in time, late enough to be seldom
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
        server, index = attempt.endpoint, attempt.class_index
        if attempt.outcome is not None or self.settings.classes[index].stream:
            return
        attempt.no_response = True
        server.no_response_rate[index] += (1.0 - server.no_response_rate[index]) / SILENCE_MEMORY
        if not attempt.later_answered_in_class:
            server.consecutive_no_response[index] = min(
                server.consecutive_no_response[index] + 1, LONGEST_MUTE
            )
            if server.consecutive_no_response[index] >= MUTE:
                usual_us = self.silent_after_us(index) * (0.5 + self.random.random())
                server.excluded_until_us[index] = self.now_us + int(
                    usual_us * 2 ** (server.consecutive_no_response[index] - 1)
                )
        self.give_up_slot(attempt)

    def give_up_slot(self, attempt: Attempt) -> None:
        """Frees the slot of an attempt that is lost: silent for too long, while its upstream answers what was
        sent later. Hazard: each of the few that are never answered would hold a slot to its deadline, many
        usual answer times, till all slots are held and all else is refused. The attempt itself stays out, as
        its answer may still be of use. Nothing can overtake what holds the only slot: so each upstream may
        have one lost on suspicion while others answer fast. A slow or silent one, or fleet, frees no more.
        It could do harm where an upstream serves by priority or shares out its time, and really has in work
        what was overtaken: it then gets up to twice the slots."""
        server = attempt.endpoint
        proven = attempt.later_answered >= OVERTAKEN
        lost = [other for other in server.attempts if other.slot_released]
        suspected = server.group.load < FULL_LOAD and all(other.later_answered >= OVERTAKEN for other in lost)
        if (
            attempt.no_response
            and (proven or suspected)
            and len(lost) < max(1, int(server.concurrency_limit))
        ):
            attempt.slot_released = True
            server.in_flight -= 1

    def timeout_us(self, request: Request) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        once = self.class_of(request).effect == "at_most_once"
        if self.settings.hedging or once or self.reissues.in_hand < 1.0:
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_us[index]), self.half_aim_us(index), 4 * known_us))

    def send_copy(self, request: Request) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.out() == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].endpoint:
                self.send(request, server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended: learn from it, and answer its request or try again."""
        request = self.requests.get(event.request)
        attempts = request.attempts[event.attempt : event.attempt + 1] if request is not None else []
        if request is None or not attempts or attempts[0].outcome is not None:
            return
        attempt = attempts[0]
        attempt.outcome = event.outcome
        server = attempt.endpoint
        server.in_flight -= int(not attempt.slot_released)
        earlier = server.attempts[: server.attempts.index(attempt)]
        server.attempts.remove(attempt)
        # hazard: what others overtook tells nothing of the load; judged by it, an upstream that leaves some
        # unanswered would be cut to one slot, and its time would be that of no answer
        lost = (attempt.slot_released or attempt.later_answered > 0) and event.outcome is Outcome.TIMEOUT
        if not lost:
            self.judge(attempt, event.elapsed_us, request.event.class_index)
        if event.outcome in ANSWERED:
            server.group.warm_up.progress += 1.0
            index = attempt.class_index
            server.no_response_rate[index] -= server.no_response_rate[index] / SILENCE_MEMORY
            server.consecutive_no_response[index] = server.excluded_until_us[index] = 0
            for other in earlier:
                other.later_answered += 1
                other.later_answered_in_class |= other.class_index == index
                if not other.slot_released:
                    self.give_up_slot(other)
        if event.outcome in (*ANSWERED, Outcome.TIMEOUT) and not lost:
            # time-outs count too: else a slow fleet would go on being judged by its few quick answers
            index, mean_us = request.event.class_index, self.mean_us[request.event.class_index]
            elapsed_us = min(event.elapsed_us, 2 * self.half_aim_us(index))
            self.mean_us[index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
        if event.final or request.is_closed:
            self.close(request)
        elif request.out() == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in REISSUED and self.may_send(request) and self.reissues.in_hand >= 1.0:
                self.place(request)
            else:
                self.finish(request)

    def on_list(self, event: EndpointsUpdated) -> None:
        """A list of servers has come, or could not be had."""
        if event.kind is ListKind.FAILED:
            self.list_failures += 1
            # doubles with each failure; jittered, as all sidecars fail together; inside ask-within (rule 3)
            longest_us = max(1, self.settings.max_poll_interval_us // 2)
            backoff_us = min(FIRST_RETRY_US * 2 ** min(self.list_failures - 1, 20), longest_us)
            self.ask_list_at(self.now_us + int(backoff_us * (0.5 + self.random.random() / 2)))
            return
        if event.kind is not ListKind.CACHED:
            self.list_failures = self.ask_list_us = 0
        if event.kind is not ListKind.DELTA:
            self.servers = {e.id: self.servers[e.id] for e in event.endpoints if e.id in self.servers}
        restarted = []
        for entry in event.endpoints:
            if entry.state is not EndpointStatus.READY:
                self.servers.pop(entry.id, None)  # rule 3: forgotten the moment we are told
                continue
            away = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
            pool = self.pools[int(away)]
            server = self.servers.setdefault(entry.id, Server(entry, pool, len(self.mean_us)))
            server.fast_growth |= event.kind is ListKind.CACHED
            if server.listed.started_us != entry.started_us or server.next_warm_up_send == 0:
                restarted.append(server)
            server.listed = entry
        for server in restarted:
            if self.warmth(server) < 1.0:  # all sidecars hear of it within moments: no burst of first sends
                self.pace_cold(server, self.random.random())
        for pool in self.pools:
            pool.in_use = [server for server in pool.in_use if self.servers.get(server.listed.id) is server]

    def ask_list_at(self, at_us: int) -> None:
        """Have the list asked for at a time, where lists come on request only."""
        if self.settings.endpoints_on_request:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Asks again if no answer comes: a call that is lost must not leave us without a list (rule 3)."""
        if self.ask_list_us != 0 and self.now_us >= self.ask_list_us:
            self.actions.append(Subscribe(True))
            self.ask_list_at(self.now_us + max(FIRST_RETRY_US, self.settings.max_poll_interval_us // 2))

    def wake(self, at_us: int, what: str, ident: int, attempt: int = 0) -> None:
        """Note what is due at a time."""
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident, attempt))

    def arm(self) -> None:
        """Ask for a timer if something is due before the one that was asked for."""
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            index = self.buffer.event.class_index
            rests = [max(s.ejected_until_us, s.excluded_until_us[index]) for s in self.servers.values()]
            times.extend([until_us for until_us in rests if until_us > self.now_us])
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self.actions.append(SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
        """Do all that is due by now."""
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident, number = heapq.heappop(self.wakeups)
            if what == "list":
                self.ask_list()
            elif what == "copy" and ident in self.requests:
                self.send_copy(self.requests[ident])
            elif what == "silence" and ident in self.requests:
                self.on_silence(self.requests[ident].attempts[number])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer)
