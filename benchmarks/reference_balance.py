"""The reference: the load balancer as it was when each request went through all endpoints.

A frozen yardstick for benchmarks and tests: only its names follow those of today. A request takes a free slot
of a random endpoint, waits in the one buffer if none is free, is rejected if that is taken, and is retried
through a slot (docs/design.md).
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

MAX_LIMIT = 8  # no endpoint gets more from one instance, however quick its responses
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
IMMEDIATE_FAILURES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
RESPONDED = (Outcome.OK, Outcome.MALFORMED)  # it has done the work, and its time tells of its load
# an endpoint failing a part would lose them all
RETRYABLE = (*IMMEDIATE_FAILURES, Outcome.MALFORMED, Outcome.TIMEOUT)
FAULT_WINDOW = 4  # attempts that make up an endpoint's share of faults
# two faults in three attempts: more than what strikes all endpoints alike does by chance
MAX_FAULT_RATE = 0.35
MIN_LIMIT = 1 / 64  # a failing endpoint is tried about once in 64 usual response times
GROWTH = 0.4  # slots a round of responses moves, by the distance from the full load; 0.8 is too rash
# of the slow time, where slots settle: more lets crowded endpoints choke, less refuses early
TARGET_LOAD = 0.7
TENANT_WINDOW = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
COLD_CARE = 1.3  # a warming endpoint gets so many times less than its part: its work comes in lumps
MIN_ACTIVE = 4  # endpoints whose slots are open to a instance with next to no traffic
SENDS_PER_S_PER_ACTIVE = 1.5  # sends a second that call for one more: fewer teach nothing, more crowd it
MAX_RELATIVE_LATENCY = 4.0  # an response that takes longer beside the usual one counts as this
LATENCY_WINDOW = 4  # responses that make up an endpoint's pace
# later sends answered before it tell an attempt that is lost from one that waits its turn
MIN_LATER_ANSWERED = 4
RATE_WINDOW = 16  # attempts of a class that make up the share of them that an endpoint leaves unanswered
NO_RESPONSE_SCALE = 0.1  # at this share it is drawn a quarter as often: far more than is late by chance
EXCLUDE_AFTER = 3  # attempts of a class unanswered in a row from which on it rests there between sends
MAX_CONSECUTIVE = 5  # as if so many
MAX_EXCLUDED_SHARE = 2 / 3  # with more endpoints than this resting the fleet is slow, and none rests
GAIN_PER_S = 2.4  # a second of slow responses cuts what is admitted to a tenth; slower, queues fill first
MIN_PROBABILITY = 0.1  # where service itself has slowed, letting in less mends nothing
RATE_MEMORY_US = 5_000_000
RETRY_SHARE = 0.2  # retries a first send earns: enough for a fifth of the fleet to fail every attempt
MAX_RETRY_BALANCE = 5.0  # retries in hand after a calm spell
LOG_GAP_US = 1_000_000  # a line a second at most, however many endpoints change
FIRST_RETRY_US = 250_000  # discovery back-off starts here: long beside one call, short beside a drain


class WarmUp:
    """What the turns of warming endpoints are counted in."""

    def __init__(self) -> None:
        self.progress = 0.0  # responses so far, and a tenth of what was admitted


class EndpointGroup:
    """Endpoints thinned together: all, or, where crossing zones costs, this zone's and the others'."""

    def __init__(self, now_us: int) -> None:
        self.admission_probability = (
            1.0  # part of the draws that may take a slot: falls while responses are slow all over
        )
        self.admission_credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its responses' times of late: 1 = half the objective
        self.warm_up = WarmUp()
        self.active: list[
            EndpointState
        ] = []  # endpoints whose slots are open; the others' stay closed till needed
        self.rate = 0.0  # sends a second, of late
        self.rated_us = now_us


class RetryBudget:
    """The budget of retries; several pools of one program may share one."""

    def __init__(self) -> None:
        self.balance = MAX_RETRY_BALANCE

    def count(self, first: bool) -> None:
        """A send: a first one earns a part of a retry, a further one is a retry."""
        self.balance = min(MAX_RETRY_BALANCE, self.balance + (RETRY_SHARE if first else -1.0))


class EndpointState:
    """What this instance knows of one endpoint."""

    def __init__(self, entry: Endpoint, pool: EndpointGroup, classes: int) -> None:
        self.listed = entry
        self.group = pool
        self.in_flight = 0  # slots taken by this instance's sends
        self.attempts: list[
            AttemptState
        ] = []  # its attempts that have not ended, in the order of their sends
        # by class, as an endpoint may be well for all but some: the share of attempts that had no response in
        # time, smoothed; how many of late in a row; and till when the class rests there
        self.no_response_rate = [0.0] * classes
        self.consecutive_no_response = [0] * classes
        self.excluded_until_us = [0] * classes
        self.concurrency_limit = 1.0  # slots open while it is well; below 1 the one slot rests between sends
        self.ejected_until_us = 0
        self.next_warm_up_send = (
            0.0  # while it is warming, it waits till this instance has seen so many served
        )
        self.relative_latency = 1.0  # time of its responses beside those of the others, smoothed
        self.fast_growth = False  # its slots open fast until its first slow response or fault
        self.fault_rate = 0.0  # share of its attempts that failed at once or spoilt, smoothed
        self.logged_as_ejected = False  # as last logged


class AttemptState:
    """An attempt that was sent to a server, and what has been seen of it."""

    def __init__(self, endpoint: EndpointState, class_index: int, now_us: int) -> None:
        self.endpoint = endpoint
        self.listed = endpoint.listed  # as it was listed then
        self.class_index = class_index
        self.sent_at_us = now_us
        self.later_answered = 0  # responses of its endpoint to what was sent later
        self.later_answered_in_class = False  # one of these was to its own class
        self.no_response = False  # it has had no response for longer than one takes
        self.slot_released = False  # and holds no slot any more
        self.outcome: Outcome | None = None  # None while it is out


class RequestState:
    """A request with its attempts."""

    def __init__(self, event: RequestArrived, now_us: int) -> None:
        self.event = event
        self.arrived_us = now_us
        self.attempts: list[AttemptState] = []
        self.is_closed = self.is_streaming = False

    def out(self) -> int:
        """How many attempts have not ended."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def attempts_made(self) -> int:
        """All attempts so far, those of other pools included."""
        return self.event.earlier_attempts + len(self.attempts)

    def first_that_may_have_run(self) -> AttemptState | None:
        """The first attempt that may have had an effect; None if all are known not to have run."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)


class LoadBalancer:
    """The decision module as it was when this reference was taken; what costs are measured against."""

    def __init__(
        self, settings: Settings, seed: int, now_us: int, retry_budget: RetryBudget | None = None
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.endpoints: dict[int, EndpointState] = {}  # the ready ones, in the order listed
        self.requests: dict[int, RequestState] = {}
        self.buffer: RequestState | None = None
        self.mean_us = [
            c.latency_objective_us / 4 for c in settings.classes
        ]  # of each class's responses; at first a guess
        self.pools = [
            EndpointGroup(now_us),
            EndpointGroup(now_us),
        ]  # drawn from in this order; the second may stay empty
        self.retry_budget = retry_budget or RetryBudget()
        self.last_shortage_us = 0  # when a request last found no free slot
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
            if self.armed_us <= now_us:  # a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, RequestCancelled) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, StreamStarted) and event.request in self.requests:
            self.requests[event.request].is_streaming = True
        elif isinstance(event, EndpointsUpdated):
            self.on_list(event)
        self.dispatch_buffered()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: RequestArrived) -> None:
        """A request has come: send it, keep it in the buffer, or refuse it."""
        if event.request in self.requests:
            return
        request = self.requests[event.request] = RequestState(event, self.now_us)
        if event.tenant < len(self.tenant_seen):
            self.tenant_seen = [seen * (1.0 - 1.0 / TENANT_WINDOW) for seen in self.tenant_seen]
            self.tenant_seen[event.tenant] += 1.0
        self.dispatch(request)
        self.unsent += (float(not request.attempts) - self.unsent) / TENANT_WINDOW
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

    def dispatch(self, request: RequestState) -> None:
        """Through a free slot, else into the buffer, else rejected."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        for pool in self.pools:
            pool.admission_credit = min(pool.admission_credit + pool.admission_probability, 2.0)
            pool.warm_up.progress += (
                0.1 * pool.admission_probability
            )  # if all are warming, nothing else would open their slots
        endpoint = self.select_endpoint(request)
        if endpoint is not None:
            self.send(request, endpoint)
            return
        self.last_shortage_us = self.now_us
        if self.may_send(request) and (self.buffer is None or self.value(request) > self.value(self.buffer)):
            # in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            if self.buffer is not None:
                self.finish(self.buffer)
            self.buffer = request
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            self.finish(request)

    def value(self, request: RequestState) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        The share is judged among the tenants seen here: of total rates a instance knows nothing."""
        s, worth = self.settings, self.class_of(request).priority_weight
        if not s.weight_by_work:
            worth /= self.mean_us[request.event.class_index]
        if request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / self.allowed_per_s
            seen = self.tenant_seen[request.event.tenant] / sum(self.tenant_seen)
            worth *= s.over_share_weight + (1.0 - s.over_share_weight) * min(1.0, allowed / seen)
        return worth

    def class_of(self, request: RequestState) -> RequestClass:
        """The settings of a request's class."""
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow response: the other half is left for a new try."""
        return self.settings.classes[class_index].latency_objective_us // 2

    def useful_until_us(self, request: RequestState) -> int:
        """When an response stops being worth anything."""
        kind = self.class_of(request)
        late = kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us
        return min(request.event.due_us, request.arrived_us + late)

    def latest_start_us(self, request: RequestState) -> int:
        """An attempt that starts later is not expected back in time to be of use. after an outage that every
        response outlasted, nothing would be tried again; so at most half the objective is left for it."""
        answer_us = min(self.mean_us[request.event.class_index], self.half_aim_us(request.event.class_index))
        return self.useful_until_us(request) - int(answer_us)

    def dispatch_buffered(self) -> None:
        """Send the request that waits in the buffer, if a server is free for it."""
        request = self.buffer
        endpoint = self.select_endpoint(request) if request is not None else None
        if request is not None and endpoint is not None:
            self.buffer = None
            self.send(request, endpoint)

    def finish(self, request: RequestState) -> None:
        """Rule 1 and 2, the one place of final responses: one each; rejected only if nothing may have run."""
        kind = self.class_of(request)
        harmless = (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.dedup_scope == "all")
        )
        self.close(request)
        ident, after_us = request.event.request, self.mean_us[request.event.class_index]
        # about one response's time, spread lest rejected clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.retry_after else 0
        self.actions.append(Reject(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: RequestState) -> None:
        """The request has its final response; it is forgotten once no attempt is out."""
        request.is_closed = True
        if self.buffer is request:
            self.buffer = None
        if request.out() == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, endpoint: EndpointState) -> int:
        """How many of this instance's sends an endpoint may have now; the one place where health lives."""
        cold = self.warm_up_fraction(endpoint) < 1.0
        if self.now_us < endpoint.ejected_until_us or (
            cold and endpoint.group.warm_up.progress < endpoint.next_warm_up_send
        ):
            return 0
        return 1 if cold else max(1, int(endpoint.concurrency_limit))

    def update_concurrency_limit(self, attempt: AttemptState, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its endpoint's slots."""
        endpoint, pool, outcome = attempt.endpoint, attempt.endpoint.group, attempt.outcome
        slow_us = self.half_aim_us(class_index)
        # what spoils responses and breaks connections may do so on all endpoints alike, and one such
        # fault would shut each of them; only turning work away tells at once of the endpoint itself
        fault = outcome in IMMEDIATE_FAILURES or outcome is Outcome.MALFORMED
        endpoint.fault_rate += (float(fault) - endpoint.fault_rate) / FAULT_WINDOW
        faulty = outcome is Outcome.REJECTED or (fault and endpoint.fault_rate > MAX_FAULT_RATE)
        if fault and not faulty and outcome is not Outcome.MALFORMED:
            return  # and its time tells nothing
        load = min(2.0, elapsed_us / slow_us) if outcome in RESPONDED else 2.0
        pace = MAX_RELATIVE_LATENCY if faulty else elapsed_us / self.mean_us[class_index]
        endpoint.relative_latency += (
            min(max(pace, 0.1), MAX_RELATIVE_LATENCY) - endpoint.relative_latency
        ) / LATENCY_WINDOW
        if outcome in (*RESPONDED, Outcome.TIMEOUT, Outcome.REJECTED):
            # a light instance never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow response among quick ones
            pool.load += (load - pool.load) / 8
            gain = GAIN_PER_S / max(1.0, pool.rate) if load < TARGET_LOAD or pool.load > 0.5 else 0.0
            pool.admission_probability *= max(0.3, 1.0 + gain * (TARGET_LOAD - load))
            pool.admission_probability = min(1.0, max(pool.admission_probability, MIN_PROBABILITY))
        # a heavy request is slow by itself; many responses are judged together, each for a little
        step = GROWTH * (TARGET_LOAD - load) / max(endpoint.concurrency_limit, 1.0)
        endpoint.fast_growth = endpoint.fast_growth and step > 0.0 and not faulty
        if endpoint.fast_growth:
            # at GROWTH a instance that starts in a busy hour would refuse a third of the first ones
            step = 1.0 - load / TARGET_LOAD
        if faulty:
            # what fails at once frees its slot at once and so would draw ever more
            endpoint.concurrency_limit /= 2
        elif step < 0.0:
            # after an outage all would rest for long, so slow responses leave the one slot
            endpoint.concurrency_limit = max(
                endpoint.concurrency_limit * (1.0 + step), min(endpoint.concurrency_limit, 1.0)
            )
        # slots opened without need (none for two aims), by many instances above all, choke bursts
        elif endpoint.concurrency_limit < 1.0 or attempt.sent_at_us <= self.last_shortage_us + 4 * slow_us:
            endpoint.concurrency_limit += min(endpoint.concurrency_limit, step)
        endpoint.concurrency_limit = min(max(endpoint.concurrency_limit, MIN_LIMIT), float(MAX_LIMIT))
        if endpoint.concurrency_limit < 1.0:
            # beside responses of seconds, short rests leave a choked endpoint crowded
            busy_us = max(min(self.mean_us[class_index], slow_us), min(elapsed_us, 2 * slow_us))
            rest_us = busy_us * (1.0 / endpoint.concurrency_limit - 1.0) * (0.5 + self.random.random())
            endpoint.ejected_until_us = self.now_us + int(rest_us)
        if endpoint.concurrency_limit < 0.5 and endpoint in pool.active:
            pool.active.remove(endpoint)  # another takes its place; it may come back when its rest is over
            self.actions.append(CloseIdle(endpoint.listed.id))
        rests = endpoint.concurrency_limit < (1.0 if endpoint.logged_as_ejected else 0.25)
        change = "rests" if rests else "is back"
        if rests != endpoint.logged_as_ejected and self.log(f"upstream {endpoint.listed.id} {change}"):
            endpoint.logged_as_ejected = rests

    def warm_up_fraction(self, endpoint: EndpointState) -> float:
        """Rule 4: the share of its capacity that an endpoint surely has. calling it warm any sooner
        lets in all instances at one moment, and together they push it over."""
        s, age_us = self.settings, self.now_us - endpoint.listed.started_us
        if endpoint.listed.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.warm_up_initial_capacity + (1.0 - s.warm_up_initial_capacity) * max(0, age_us) / s.warm_up_us

    def schedule_warm_up_send(self, endpoint: EndpointState, part: float) -> None:
        """Rule 4: a warming endpoint gets its part, by warmth, of what this instance sees served by its pool;
        and the fleet serves no more than it can, however much is asked of it."""
        whole = sum(
            self.warm_up_fraction(other) for other in self.endpoints.values() if other.group is endpoint.group
        )
        endpoint.next_warm_up_send = (
            endpoint.group.warm_up.progress + part * COLD_CARE * whole / self.warm_up_fraction(endpoint)
        )

    def select_endpoint(self, request: RequestState) -> EndpointState | None:
        """A random free slot, at one of the few endpoints that this instance's traffic needs, else at any; a
        busy zone spills over only what it can't take: a request thinned or without a slot there."""
        index = request.event.class_index
        resting = sum(1 for s in self.endpoints.values() if self.now_us < s.excluded_until_us[index])
        some_rest = resting <= MAX_EXCLUDED_SHARE * len(self.endpoints)
        for pool in self.pools if self.may_send(request) else []:
            if pool.admission_credit >= 1.0:
                best = self.free_slots(request, pool.active, some_rest)
                if not best or len(pool.active) < MIN_ACTIVE + int(pool.rate / SENDS_PER_S_PER_ACTIVE):
                    # each instance connected to each endpoint fills their tables of connections
                    others = [s for s in self.endpoints.values() if s.group is pool and s not in pool.active]
                    best = self.free_slots(request, others, some_rest) or best
                if best:
                    return self.random.choices(best, [share for _, share in best])[0][0]
        return None

    def free_slots(
        self, request: RequestState, endpoints: list[EndpointState], some_rest: bool
    ) -> list[tuple[EndpointState, float]]:
        """The endpoints with a slot free for it, each with its slots, which count less where it is slow."""
        tried = [attempt.endpoint for attempt in request.attempts]
        index = request.event.class_index
        by_weight, first = self.settings.select_by_weight, request.first_that_may_have_run()
        found = []
        for endpoint in endpoints:
            slots = self.open_slots(endpoint) - endpoint.in_flight
            if slots <= 0 or (some_rest and self.now_us < endpoint.excluded_until_us[index]):
                continue
            if endpoint.listed.id in request.event.excluded:
                continue
            if first is None or self.in_group(request, first, endpoint):
                size = endpoint.listed.weight if by_weight else 1.0
                share = (
                    slots
                    * size
                    / (
                        endpoint.relative_latency
                        * (1.0 + endpoint.no_response_rate[index] / NO_RESPONSE_SCALE)
                    )
                    ** 2
                )
                found.append((endpoint, share))
        return [pair for pair in found if pair[0] not in tried] or found

    def may_send(self, request: RequestState) -> bool:
        """Rules 1 and 2 as far as they don't depend on the endpoint."""
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

    def in_group(self, request: RequestState, first: AttemptState, endpoint: EndpointState) -> bool:
        """Rule 2: after a keyed attempt that may have run, only endpoints that drop its repeats."""
        kind = self.class_of(request)
        if kind.effect != "deduplicated" or kind.dedup_scope == "all":
            return True
        if any(each.endpoint is endpoint and each.outcome is Outcome.RESET for each in request.attempts):
            return False  # another process may listen at its address now
        if kind.dedup_scope == "zone":
            return first.listed.zone == endpoint.listed.zone
        return first.listed.cell == endpoint.listed.cell

    def send(self, request: RequestState, endpoint: EndpointState) -> None:
        """Send an attempt of a request to a server."""
        if self.warm_up_fraction(endpoint) < 1.0:
            self.schedule_warm_up_send(endpoint, 1.0)
        endpoint.in_flight += 1
        pool = endpoint.group
        pool.admission_credit = max(0.0, pool.admission_credit - 1.0)
        faded = math.exp((pool.rated_us - self.now_us) / RATE_MEMORY_US)
        pool.rate, pool.rated_us = pool.rate * faded + 1_000_000 / RATE_MEMORY_US, self.now_us
        if endpoint not in pool.active:
            pool.active.append(endpoint)
        self.retry_budget.count(first=request.attempts_made() == 0)
        attempt = AttemptState(endpoint, request.event.class_index, self.now_us)
        request.attempts.append(attempt)
        endpoint.attempts.append(attempt)
        silent_us = self.now_us + self.silent_after_us(attempt.class_index)
        self.wake(silent_us, "silence", request.event.request, len(request.attempts) - 1)
        self.actions.append(Send(request.event.request, endpoint.listed.id, self.timeout_us(request)))
        if self.settings.hedging and self.class_of(request).effect != "at_most_once":
            index = request.event.class_index  # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * self.mean_us[index]), self.half_aim_us(index))
            self.wake(self.now_us + after_us, "copy", request.event.request)

    def silent_after_us(self, class_index: int) -> int:
        """Few responses take longer than the objective, unless the endpoint is slow to all. sooner, what an
        overload makes slow would be taken for lost."""
        return self.settings.classes[class_index].latency_objective_us

    def on_no_response(self, attempt: AttemptState) -> None:
        """It has had no response for longer than one takes. an endpoint, or what lies before it, may never
        response a part of the requests (dropped, stuck on a lock, bound for a dead shard) or all of a class
        and be well for the others: one that may not be repeated is lost there, and the timeout tells of it
        only after many usual response times. So the endpoint is drawn less for that class, and only now and
        then once it left some in a row unanswered; this holds for one that says nothing at all, too. It could
        do harm where a class is slow by nature and seldom: its late responses then send it elsewhere."""
        endpoint, index = attempt.endpoint, attempt.class_index
        if attempt.outcome is not None or self.settings.classes[index].stream:
            return
        attempt.no_response = True
        endpoint.no_response_rate[index] += (1.0 - endpoint.no_response_rate[index]) / RATE_WINDOW
        if not attempt.later_answered_in_class:
            endpoint.consecutive_no_response[index] = min(
                endpoint.consecutive_no_response[index] + 1, MAX_CONSECUTIVE
            )
            if endpoint.consecutive_no_response[index] >= EXCLUDE_AFTER:
                usual_us = self.silent_after_us(index) * (0.5 + self.random.random())
                endpoint.excluded_until_us[index] = self.now_us + int(
                    usual_us * 2 ** (endpoint.consecutive_no_response[index] - 1)
                )
        self.release_slot(attempt)

    def release_slot(self, attempt: AttemptState) -> None:
        """Frees the slot of an attempt that is lost: silent for too long, while its endpoint answers what was
        sent later. each of the few that are never answered would hold a slot to its deadline, many usual
        response times, till all slots are held and all else is rejected. The attempt itself stays out, as its
        response may still be of use. Nothing can overtake what holds the only slot: so each endpoint may have
        one lost on suspicion while others response fast. A slow or silent one, or fleet, frees no more. It
        could do harm where an endpoint serves by priority or shares out its time, and really has in work what
        was overtaken: it then gets up to twice the slots."""
        endpoint = attempt.endpoint
        proven = attempt.later_answered >= MIN_LATER_ANSWERED
        lost = [other for other in endpoint.attempts if other.slot_released]
        suspected = endpoint.group.load < TARGET_LOAD and all(
            other.later_answered >= MIN_LATER_ANSWERED for other in lost
        )
        if (
            attempt.no_response
            and (proven or suspected)
            and len(lost) < max(1, int(endpoint.concurrency_limit))
        ):
            attempt.slot_released = True
            endpoint.in_flight -= 1

    def timeout_us(self, request: RequestState) -> int:
        """As long as an response is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        once = self.class_of(request).effect == "at_most_once"
        if self.settings.hedging or once or self.retry_budget.balance < 1.0:
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_us[index]), self.half_aim_us(index), 4 * known_us))

    def send_hedge(self, request: RequestState) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.out() == 1 and self.buffer is None:
            endpoint = self.select_endpoint(request)
            if endpoint is not None and endpoint is not request.attempts[-1].endpoint:
                self.send(request, endpoint)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended: learn from it, and response its request or try again."""
        request = self.requests.get(event.request)
        attempts = request.attempts[event.attempt : event.attempt + 1] if request is not None else []
        if request is None or not attempts or attempts[0].outcome is not None:
            return
        attempt = attempts[0]
        attempt.outcome = event.outcome
        endpoint = attempt.endpoint
        endpoint.in_flight -= int(not attempt.slot_released)
        earlier = endpoint.attempts[: endpoint.attempts.index(attempt)]
        endpoint.attempts.remove(attempt)
        # what others overtook tells nothing of the load; judged by it, an endpoint that leaves some
        # unanswered would be cut to one slot, and its time would be that of no response
        lost = (attempt.slot_released or attempt.later_answered > 0) and event.outcome is Outcome.TIMEOUT
        if not lost:
            self.update_concurrency_limit(attempt, event.elapsed_us, request.event.class_index)
        if event.outcome in RESPONDED:
            endpoint.group.warm_up.progress += 1.0
            index = attempt.class_index
            endpoint.no_response_rate[index] -= endpoint.no_response_rate[index] / RATE_WINDOW
            endpoint.consecutive_no_response[index] = endpoint.excluded_until_us[index] = 0
            for other in earlier:
                other.later_answered += 1
                other.later_answered_in_class |= other.class_index == index
                if not other.slot_released:
                    self.release_slot(other)
        if event.outcome in (*RESPONDED, Outcome.TIMEOUT) and not lost:
            # time-outs count too: else a slow fleet would go on being judged by its few quick responses
            index, mean_us = request.event.class_index, self.mean_us[request.event.class_index]
            elapsed_us = min(event.elapsed_us, 2 * self.half_aim_us(index))
            self.mean_us[index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
        if event.final or request.is_closed:
            self.close(request)
        elif request.out() == 0:
            # when all endpoints are slow at once, time-outs double the load that keeps them slow
            if event.outcome in RETRYABLE and self.may_send(request) and self.retry_budget.balance >= 1.0:
                self.dispatch(request)
            else:
                self.finish(request)

    def on_list(self, event: EndpointsUpdated) -> None:
        """A list of servers has come, or could not be had."""
        if event.kind is ListKind.FAILED:
            self.list_failures += 1
            # doubles with each failure; jittered, as all instances fail together; inside ask-within (rule 3)
            longest_us = max(1, self.settings.max_poll_interval_us // 2)
            backoff_us = min(FIRST_RETRY_US * 2 ** min(self.list_failures - 1, 20), longest_us)
            self.ask_list_at(self.now_us + int(backoff_us * (0.5 + self.random.random() / 2)))
            return
        if event.kind is not ListKind.CACHED:
            self.list_failures = self.ask_list_us = 0
        if event.kind is not ListKind.DELTA:
            self.endpoints = {e.id: self.endpoints[e.id] for e in event.endpoints if e.id in self.endpoints}
        restarted = []
        for entry in event.endpoints:
            if entry.state is not EndpointStatus.READY:
                self.endpoints.pop(entry.id, None)  # rule 3: forgotten the moment we are told
                continue
            away = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
            pool = self.pools[int(away)]
            endpoint = self.endpoints.setdefault(entry.id, EndpointState(entry, pool, len(self.mean_us)))
            endpoint.fast_growth |= event.kind is ListKind.CACHED
            if endpoint.listed.started_us != entry.started_us or endpoint.next_warm_up_send == 0:
                restarted.append(endpoint)
            endpoint.listed = entry
        for endpoint in restarted:
            if (
                self.warm_up_fraction(endpoint) < 1.0
            ):  # all instances hear of it within moments: no burst of first sends
                self.schedule_warm_up_send(endpoint, self.random.random())
        for pool in self.pools:
            pool.active = [
                endpoint for endpoint in pool.active if self.endpoints.get(endpoint.listed.id) is endpoint
            ]

    def ask_list_at(self, at_us: int) -> None:
        """Have the list asked for at a time, where lists come on request only."""
        if self.settings.endpoints_on_request:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Asks again if no response comes: a call that is lost must not leave us without a list (rule 3)."""
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
            rests = [max(s.ejected_until_us, s.excluded_until_us[index]) for s in self.endpoints.values()]
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
                self.send_hedge(self.requests[ident])
            elif what == "silence" and ident in self.requests:
                self.on_no_response(self.requests[ident].attempts[number])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer)
