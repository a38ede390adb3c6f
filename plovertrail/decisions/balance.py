"""All decisions on requests. Its settings, events and actions: settings.py, events.py, actions.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import random
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
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.endpoint_group import EndpointGroup
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.outcomes import (
    FAULTS,
    LOAD_SIGNALS,
    RESPONDED,
    RETRYABLE,
    TIMED,
)
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler
from plovertrail.decisions.settings import RequestClass, Settings

MOST_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
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
LOG_GAP_US = 1_000_000  # a line a second at most, however many upstreams change
NEVER_US = 2**62  # later than any clock says


class LoadBalancer:
    def __init__(
        self, settings: Settings, seed: int, now_us: int, retry_budget: RetryBudget | None = None
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.endpoints: dict[int, EndpointState] = {}  # the ready ones, in the order listed
        # what was known of a new one before a restart (remembered.py); here nothing is
        self.recall: Callable[[EndpointState], object] = lambda server: None
        self.mates: dict[tuple[str, int], dict[int, EndpointState]] = {}  # of each zone and cell
        self.muted = [0 for _ in settings.classes]  # how many rest for each class
        self.mutes: list[list[tuple[int, int]]] = [[] for _ in settings.classes]  # (until, number); heaps
        self.hearsay: set[int] = set()  # upstreams that other instances find wrong
        # called with each attempt that has had no answer for longer than one takes
        self.silent: Callable[[EndpointState, int], None] = lambda server, class_index: None
        self.rests: list[tuple[int, int]] = []  # (until, number), of rests and of warm-ups; a heap
        self.distrusted: dict[int, int] = {}  # by number, when to look again
        self.doubts: list[tuple[int, int]] = []  # (when, number); a heap
        self.requests: dict[int, RequestState] = {}
        self.buffer: RequestState | None = None
        self.mean_us = [
            c.latency_objective_us / 4 for c in settings.classes
        ]  # of each class's answers; at first a guess
        # drawn from in this order; a second one where crossing zones costs
        self.groups = [EndpointGroup(now_us) for _ in range(2 if settings.cross_zone_fee > 0 else 1)]
        self.retry_budget = retry_budget or RetryBudget()
        self.short_us = 0  # when a request last found no free slot
        self.allowed_per_s = max(1.0, sum(t.allowance_per_s for t in settings.tenants))
        self.tenant_seen = [0.0 for _ in settings.tenants]  # arrivals of each, the old ones fading
        self.unsent = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        # by class, the attempts that are not silent yet, in the order of their sends and so of their times
        self.unheard: list[deque[AttemptState]] = [deque() for _ in settings.classes]
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
            self.requests[event.request].is_streaming = True
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
        if self.buffer is None and any(
            group.total_weight > 0.0 for pool in self.groups for group in pool.samplers
        ):
            return True
        self.short_us = now_us
        return False

    def next_rested_us(self) -> int:
        """When the next slot opens by time and not by an event."""
        return self.rests[0][0] if self.rests else NEVER_US

    def on_arrival(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        request = self.requests[event.request] = RequestState(
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

    def place(self, request: RequestState) -> None:
        """Through a free slot, else into the buffer, else refused."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        for pool in self.groups:
            if pool.admission_probability < 1.0 and self.now_us - pool.last_signal_us > LONGEST_GAP_US:
                # hazard: with little traffic the answers that would end the thinning come too seldom
                pool.admission_probability, pool.last_signal_us = (
                    min(1.0, pool.admission_probability * EASE),
                    self.now_us,
                )
            pool.admission_credit = min(2.0, pool.admission_credit + pool.admission_probability)
            pool.served += (
                0.1 * pool.admission_probability
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

    def value(self, request: RequestState) -> float:
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

    def class_of(self, request: RequestState) -> RequestClass:
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.settings.classes[class_index].latency_objective_us // 2

    def latest_start_us(self, request: RequestState) -> int:
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

    def finish(self, request: RequestState) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        kind = self.class_of(request)
        harmless = (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.dedup_scope == "all")
        )
        if not request.attempts:
            for pool in self.groups:
                pool.record_rejection(self.now_us)
        self.close(request)
        ident, after_us = request.event.request, self.mean_us[request.event.class_index]
        # about one answer's time, spread lest refused clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.retry_after else 0
        self.actions.append(Reject(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: RequestState) -> None:
        request.is_closed = True
        if self.buffer is request:
            self.buffer = None
        if request.in_flight == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: EndpointState) -> int:
        """How many of this sidecar's sends an upstream may have now; the one place where health lives."""
        if self.now_us < server.ejected_until_us:
            return 0
        if server.listed.started_us != 0 and self.warmth(server) < 1.0:
            return int(server.group.served >= server.next_warm_up_send)
        return int(server.concurrency_limit) or 1

    def judge(self, attempt: AttemptState, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool, outcome = attempt.endpoint, attempt.endpoint.group, attempt.outcome
        slow_us = self.half_aim_us(class_index)
        # hazard: what spoils answers and breaks connections may do so on all upstreams alike, and one such
        # fault would shut each of them; only turning work away tells at once of the upstream itself
        fault = outcome in FAULTS
        server.fault_rate += (fault - server.fault_rate) / FAULT_MEMORY
        if fault or server.failure_penalty:
            self.distrust(server, fault)
        faulty = outcome is Outcome.REJECTED or (fault and server.fault_rate > FAULT_SHARE)
        if fault and not faulty and outcome is not Outcome.MALFORMED:
            return  # and its time tells nothing
        load = min(2.0, elapsed_us / slow_us) if outcome in RESPONDED else 2.0
        pace = SLOWEST_PACE if faulty else elapsed_us / self.mean_us[class_index]
        server.relative_latency += (min(max(pace, 0.1), SLOWEST_PACE) - server.relative_latency) / PACE_MEMORY
        # hazard: cold ones answer fast beside warm ones that choke, and would end the thinning these need
        if outcome in LOAD_SIGNALS and server.listed.id not in pool.warming:
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: by the sends of the last seconds alone, a sidecar with little traffic that thins it to a
            # tenth would learn too slowly that the jam is over; so an answer after a gap counts for the gap.
            # Slow ones count for no more than that: those that come in a bunch tell of one moment
            gap_us = min(self.now_us - pool.last_signal_us, LONGEST_GAP_US)
            pool.last_signal_us = self.now_us
            gain = ADMIT_GAIN * gap_us / 1e6
            if load < FULL_LOAD:
                gain = max(gain, ADMIT_GAIN / max(1.0, pool.send_rate.per_second))
            elif pool.load <= 0.5:
                gain = 0.0
            pool.admission_probability *= max(0.3, 1.0 + gain * (FULL_LOAD - load))
            pool.admission_probability = min(1.0, max(pool.admission_probability, LEAST_ADMITTED))
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
            self.rest(server, max(min(self.mean_us[class_index], slow_us), min(elapsed_us, 2 * slow_us)))
        # another takes its place; it may come back when its rest is over
        if server.concurrency_limit < 0.5 and self.use(server, False):
            self.actions.append(CloseIdle(server.listed.id))
        rests = server.concurrency_limit < (1.0 if server.logged_as_ejected else 0.25)
        change = "rests" if rests else "is back"
        if rests != server.logged_as_ejected and self.log(f"upstream {server.listed.id} {change}"):
            server.logged_as_ejected = rests

    def rest(self, server: EndpointState, busy_us: float) -> None:
        """Its one slot stays closed for a while, by the time that it is busy with a request."""
        rest_us = busy_us * (1.0 / server.concurrency_limit - 1.0) * (0.5 + self.random.random())
        server.ejected_until_us = self.now_us + int(rest_us)
        heapq.heappush(self.rests, (server.ejected_until_us, server.listed.id))

    def distrust(self, server: EndpointState, fault: bool) -> None:
        """Hazard: an upstream that fails a part at once takes the requests that may not be repeated; beside
        many upstreams a sidecar with little traffic sees each of them too seldom to learn it from a share. So
        the first fault counts, by the draw alone, as long as few upstreams have any."""
        if self.endpoints.get(server.listed.id) is not server:
            return  # hazard: what ended at one that has gone and come back would be booked to the other
        if not fault or len(self.distrusted) < MOST_DISTRUSTED * len(self.endpoints):
            server.failure_penalty += (fault - server.failure_penalty) / FAULT_MEMORY
            self.keep_distrust(server, self.now_us)

    def keep_distrust(self, server: EndpointState, since_us: int) -> None:
        """Among the distrusted, till the next look, or not any more."""
        number = server.listed.id
        if server.failure_penalty < LEAST_DISTRUST:
            server.failure_penalty = 0.0
            self.distrusted.pop(number, None)
        elif number not in self.distrusted:
            self.distrusted[number] = since_us + DISTRUST_HALF_US
            heapq.heappush(self.doubts, (self.distrusted[number], number))

    def fade_distrust(self) -> None:
        """Half of it is left after a while, whether or not there was an answer to learn from."""
        while self.doubts and self.doubts[0][0] <= self.now_us:
            until_us, number = heapq.heappop(self.doubts)
            if self.distrusted.get(number) == until_us:
                server = self.endpoints[number]
                server.failure_penalty /= 2.0
                del self.distrusted[number]
                self.keep_distrust(server, until_us)  # hazard: after a long calm, one step for all of it
                self.weigh(server)

    def warmth(self, server: EndpointState) -> float:
        """Rule 4: the share of its capacity that an upstream surely has. Hazard: calling it warm any sooner
        lets in all sidecars at one moment, and together they push it over."""
        started_us = server.listed.started_us
        if started_us == 0:
            return 1.0
        s, age_us = self.settings, self.now_us - started_us
        if age_us >= s.warm_up_us:
            return 1.0
        return s.warm_up_initial_capacity + (1.0 - s.warm_up_initial_capacity) * max(0, age_us) / s.warm_up_us

    def pace_cold(self, server: EndpointState, part: float) -> None:
        """Rule 4: a cold upstream gets its part, by warmth and size, of what this sidecar sees served by its
        pool, times what it bears of it; and the fleet serves no more than it can, however much is asked of
        it."""
        pool = server.group
        cold = [self.endpoints[number] for number in pool.warming]
        whole = pool.capacity - sum((1.0 - self.warmth(other)) * self.size(other.listed) for other in cold)
        # hazard: beside no warm one at all no answer would tell that help is needed
        calm_part = CALM_PART if len(pool.active) + len(pool.standby) > 0 else 1.0
        burden = min(1.0, max(calm_part, pool.load / HELP_LOAD))
        borne = min(1.0, self.warmth(server) * COLD_PART * self.settings.overload_factor * burden)
        borne *= min(1.0, server.concurrency_limit)  # hazard: one that turns work away may be about to fall
        server.next_warm_up_send = pool.served + part * whole / (borne * self.size(server.listed))
        heapq.heappush(pool.warm_up_queue, (server.next_warm_up_send, server.listed.id))
        if len(pool.warm_up_queue) > 2 * len(cold) + STALE_BORNE:
            # hazard: with servers that restart and next to no traffic, stale entries would pile up
            pool.warm_up_queue = sorted((other.next_warm_up_send, other.listed.id) for other in cold)
        self.weigh(server)

    def draw(self, request: RequestState) -> EndpointState | None:
        """A random free slot, at a cold upstream whose turn has come, at one of the few that this sidecar's
        traffic needs, else at any; a busy zone spills over only what it can't take: a request thinned or
        without a slot there. Hazard: turns of cold upstreams that others' free slots outbid are lost, and the
        warm ones choke beside them."""
        if not self.may_send(request):
            return None
        self.open_rested()
        some_rest = self.muted[request.event.class_index] <= MOST_MUTE * len(self.endpoints)
        server = self.preferred(request, some_rest) if request.event.preferred else None
        if server is not None:
            return server
        held: EndpointState | None = None  # taken where there is no other
        for pool in self.groups:
            while pool.warm_up_queue and pool.warm_up_queue[0][0] <= pool.served:
                self.weigh(self.endpoints.get(heapq.heappop(pool.warm_up_queue)[1]))
            groups: tuple[WeightedSampler, ...] = pool.samplers
            # hazard: each sidecar connected to each upstream fills their tables of connections
            few = len(pool.active) < FEWEST_IN_USE + int(pool.send_rate.per_second / A_SECOND_EACH)
            if pool.admission_credit < 1.0:
                groups = (pool.warming,)  # they have their turns, and are not what is slow
            elif few and pool.standby.total_weight > 0.0:
                groups = pool.warming, pool.standby, pool.active
            for group in groups:
                server = self.pick(request, group, some_rest) if group.total_weight > 0.0 else None
                if server is None:
                    continue
                # hazard: a group of one that others find wrong has it drawn whatever they say
                if (
                    server.peer_penalties
                    and held is None
                    and request.event.class_index in server.peer_penalties
                ):
                    held = server
                    continue
                return server
        return held

    def preferred(self, request: RequestState, some_rest: bool) -> EndpointState | None:
        """A first attempt's own choice, if it could take it by chance as well. Hazard: one that fails must
        not get the repeats too."""
        for number in request.event.preferred if not request.attempts else ():
            server = self.endpoints.get(number)
            if server is not None and server.group.admission_credit >= 1.0 and self.share(server) > 0.0:
                heard = self.doubtful(server, request.event.class_index) < SILENCE_BORNE
                if heard and self.fits(request, server, some_rest):
                    return server
        return None

    def pick(self, request: RequestState, group: WeightedSampler, some_rest: bool) -> EndpointState | None:
        """One of a group, in proportion to its free slots: drawn by what holds for all requests, and taken
        with the part that is left of it for this one. Few draws miss; then all are gone through."""
        index, first = request.event.class_index, request.first_that_may_have_run()
        tried = [attempt.endpoint for attempt in request.attempts] if request.attempts else ()
        kind = self.settings.classes[index]
        grouped = first is not None and kind.effect == "deduplicated" and kind.dedup_scope != "all"
        for _ in range(0 if grouped else DRAWS):
            number = group.sample(self.random.random())
            if number is None:
                return None
            server = self.endpoints[number]
            if server not in tried and self.fits(request, server, some_rest):
                silence = self.doubtful(server, index)
                if silence <= 0.0 or self.random.random() * (1.0 + silence / SILENCE_BORNE) ** 2 < 1.0:
                    return server
        found = []
        for server in (
            self.drops_repeats(kind, first, group)
            if first is not None and grouped
            else [self.endpoints[number] for number in group]
        ):
            share = self.share(server)
            if share > 0.0 and self.fits(request, server, some_rest):
                found.append((server, share / (1.0 + self.doubtful(server, index) / SILENCE_BORNE) ** 2))
        found = [pair for pair in found if pair[0] not in tried] or found
        return self.random.choices(found, [share for _, share in found])[0][0] if found else None

    def doubtful(self, server: EndpointState, class_index: int) -> float:
        """How much less an upstream is drawn for a class: by what it left unanswered here, and by hearsay."""
        heard = server.peer_penalties.get(class_index, 0.0) if server.peer_penalties else 0.0
        return server.no_response_rate[class_index] + heard

    def fits(self, request: RequestState, server: EndpointState, some_rest: bool) -> bool:
        """Whether an upstream with a free slot may have this request now."""
        resting = some_rest and self.now_us < server.excluded_until_us[request.event.class_index]
        return not resting and server.listed.id not in request.event.excluded

    def drops_repeats(
        self, kind: RequestClass, first: AttemptState, group: WeightedSampler
    ) -> list[EndpointState]:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats."""
        place = first.listed.zone if kind.dedup_scope == "zone" else first.listed.cell
        mates = self.mates.get((kind.dedup_scope, place), {})
        return [server for number, server in mates.items() if number in group]

    def share(self, server: EndpointState) -> float:
        """The weight of an upstream in the draw: its free slots, which count less where it is slow."""
        slots = self.open_slots(server) - server.in_flight
        if slots <= 0:
            return 0.0
        size = server.listed.weight if self.settings.select_by_weight else 1.0
        return slots * size / (server.relative_latency * (1.0 + server.failure_penalty / DISTRUST_BORNE)) ** 2

    def size(self, entry: Endpoint) -> float:
        """What an upstream does beside the others once it is warm, as far as the list tells."""
        return entry.weight if self.settings.weighted else 1.0

    def weigh(self, server: EndpointState | None) -> None:
        """Its weight follows what has changed."""
        if server is not None and self.endpoints.get(server.listed.id) is server:
            pool, number, share = server.group, server.listed.id, self.share(server)
            if not pool.warming.change(number, share) and not pool.active.change(number, share):
                pool.standby.set(number, share)

    def use(self, server: EndpointState, use: bool) -> bool:
        """Its slots open, or close till they are needed; whether that is a change. Hazard: one that has gone
        and come back is another server under the same number."""
        pool, number = server.group, server.listed.id
        if (
            self.endpoints.get(number) is not server
            or number in pool.warming
            or (number in pool.active) == use
        ):
            return False
        come, go = (pool.active, pool.standby) if use else (pool.standby, pool.active)
        go.discard(number)
        come.set(number, self.share(server))
        return True

    def open_rested(self) -> None:
        """Rests and warm-ups that are over by now."""
        if self.doubts:
            self.fade_distrust()
        while self.rests and self.rests[0][0] <= self.now_us:
            server = self.endpoints.get(heapq.heappop(self.rests)[1])
            if server is not None:
                if self.warmth(server) >= 1.0 and server.listed.id in server.group.warming:
                    server.group.warming.discard(server.listed.id)
                    # hazard: with half of a fleet new all sidecars would crowd the old ones, each known to it
                    # and slow but with a slot free, and what it saw the new ones answer faster would be lost
                    if server.relative_latency < 1.0:
                        self.use(server, True)
                self.weigh(server)
        for index, heap in enumerate(self.mutes):
            while heap and heap[0][0] <= self.now_us:
                server = self.endpoints.get(heapq.heappop(heap)[1])
                if server is not None and server.excluded_until_us[index] <= self.now_us:
                    self.mute(server, index, 0)

    def mute(self, server: EndpointState, index: int, until_us: int) -> None:
        """It rests for a class until then; 0 ends that."""
        server.excluded_until_us[index] = until_us
        if self.endpoints.get(server.listed.id) is server:
            self.muted[index] += (until_us > 0) - server.counted_as_excluded[index]
            server.counted_as_excluded[index] = until_us > 0
            if until_us > 0:
                heapq.heappush(self.mutes[index], (until_us, server.listed.id))

    def forget(self, number: int) -> None:
        """Rule 3: forgotten the moment we are told."""
        server = self.endpoints.pop(number, None)
        if server is not None:
            pool = server.group
            for group in pool.samplers:
                group.discard(number)
            pool.capacity -= self.size(server.listed)
            self.distrusted.pop(number, None)
            self.muted = [
                count - muted for count, muted in zip(self.muted, server.counted_as_excluded, strict=True)
            ]
            self.leave_mates(server)

    def leave_mates(self, server: EndpointState) -> None:
        for place in (("zone", server.listed.zone), ("cell", server.listed.cell)):
            mates = self.mates.get(place, {})
            mates.pop(server.listed.id, None)
            if not mates:
                self.mates.pop(place, None)

    def may_send(self, request: RequestState) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        event = request.event
        if request.is_closed or request.is_streaming or self.now_us >= event.due_us:
            return False
        left = self.settings.max_attempts if event.attempts_left is None else event.attempts_left
        if len(request.attempts) >= left:
            return False
        if request.in_flight > 0 and not self.settings.hedging:
            return False
        if not request.attempts:
            return True
        first = request.first_that_may_have_run()
        kind = self.settings.classes[event.class_index]
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_at_us < kind.dedup_window_us

    def send(self, request: RequestState, server: EndpointState) -> None:
        if self.warmth(server) < 1.0:
            self.pace_cold(server, 1.0)
        server.in_flight += 1
        pool = server.group
        pool.admission_credit = pool.admission_credit - 1.0 if pool.admission_credit > 1.0 else 0.0
        pool.send_rate.record(self.now_us)
        if server.listed.id not in pool.active:
            self.use(server, True)
        self.weigh(server)
        if request.total_attempts() == 0:
            self.retry_budget.record_first_attempt()
        else:
            self.retry_budget.record_retry()
        attempt = AttemptState(server, server.listed, request.event.class_index, self.now_us)
        request.attempts.append(attempt)
        request.in_flight += 1
        server.attempts.append(attempt)
        index = attempt.class_index
        if not self.settings.classes[index].stream:
            self.unheard[index].append(attempt)
            silent_us = self.now_us + self.silent_after_us(index)
            if silent_us < self.wanted_us:
                self.wanted_us = silent_us
        self.actions.append(
            Send(
                request.event.request,
                server.listed.id,
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

    def on_silence(self, attempt: AttemptState) -> None:
        """It has had no answer for longer than one takes. Hazard: an upstream, or what lies before it, may
        never answer a part of the requests (dropped, stuck on a lock, bound for a dead shard) or all of a
        class and be well for the others: one that may not be repeated is lost there, and the time-out tells
        of it only after many usual answer times. So the upstream is drawn less for that class, and only now
        and then once it left some in a row unanswered; this holds for one that says nothing at all, too. It
        could do harm where a class is slow by nature and seldom: its late answers then send it elsewhere."""
        server, index = attempt.endpoint, attempt.class_index
        attempt.no_response = True
        self.silent(server, index)
        server.no_response_rate[index] += (1.0 - server.no_response_rate[index]) / SILENCE_MEMORY
        if not attempt.overtaken_in_class:
            server.consecutive_no_response[index] = min(
                server.consecutive_no_response[index] + 1, LONGEST_MUTE
            )
            if server.consecutive_no_response[index] >= MUTE:
                usual_us = self.silent_after_us(index) * (0.5 + self.random.random())
                self.mute(
                    server,
                    index,
                    self.now_us + int(usual_us * 2 ** (server.consecutive_no_response[index] - 1)),
                )
        self.give_up_slot(attempt)

    def give_up_slot(self, attempt: AttemptState) -> None:
        """Frees the slot of a silent attempt that is lost: its upstream answers what was sent later. Hazard:
        each of the few that are never answered would hold a slot to its deadline, many usual answer times,
        till all slots are held and all else is refused. The attempt itself stays out, as its answer may still
        be of use. Nothing can overtake what holds the only slot: so each upstream may
        have one lost on suspicion while others answer fast. A slow or silent one, or fleet, frees no more.
        It could do harm where an upstream serves by priority or shares out its time, and really has in work
        what was overtaken: it then gets up to twice the slots."""
        server = attempt.endpoint
        proven = attempt.overtaken_by >= OVERTAKEN
        lost = [other for other in server.attempts if other.slot_released]
        suspected = server.group.load < FULL_LOAD and all(other.overtaken_by >= OVERTAKEN for other in lost)
        if (proven or suspected) and len(lost) < max(1, int(server.concurrency_limit)):
            attempt.slot_released = True
            server.in_flight -= 1
            self.weigh(server)

    def timeout_us(self, request: RequestState) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, request.useful_until_us - self.now_us)
        once = self.class_of(request).effect == "at_most_once"
        if self.settings.hedging or once or self.retry_budget.balance < 1.0:
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_us[index]), self.half_aim_us(index), 4 * known_us))

    def repeat_within_us(self, request: RequestState) -> int:
        """Rule 2: for how long the attempt that begins now would be dropped as a repeat; 0: it needs not be.
        Hazard: its connection may take so long to come up that the group has forgotten the first."""
        kind, first = self.class_of(request), request.first_that_may_have_run()
        if kind.effect != "deduplicated" or first is None or first is request.attempts[-1]:
            return 0
        return max(1, first.sent_at_us + kind.dedup_window_us - self.now_us)

    def send_copy(self, request: RequestState) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.in_flight == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].endpoint:
                self.send(request, server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempts = request.attempts[event.attempt : event.attempt + 1] if request is not None else []
        if request is None or not attempts or attempts[0].outcome is not None:
            return
        attempt = attempts[0]
        attempt.outcome = event.outcome
        request.in_flight -= 1
        server = attempt.endpoint
        server.in_flight -= int(not attempt.slot_released)
        place = server.attempts.index(attempt)
        earlier = server.attempts[:place]
        del server.attempts[place]
        # hazard: what others overtook tells nothing of the load; judged by it, an upstream that leaves some
        # unanswered would be cut to one slot, and its time would be that of no answer
        lost = (attempt.slot_released or attempt.overtaken_by > 0) and event.outcome is Outcome.TIMEOUT
        if not lost:
            self.judge(attempt, event.elapsed_us, request.event.class_index)
        self.weigh(server)
        if event.outcome in RESPONDED:
            server.group.record_response(self.now_us)
            index = attempt.class_index
            server.no_response_rate[index] -= server.no_response_rate[index] / SILENCE_MEMORY
            server.consecutive_no_response[index] = 0
            if server.excluded_until_us[index]:
                self.mute(server, index, 0)
            for other in earlier:
                other.overtaken_by += 1
                other.overtaken_in_class |= other.class_index == index
                if other.no_response and not other.slot_released:
                    self.give_up_slot(other)
        if event.outcome in TIMED and not lost:
            index, mean_us = request.event.class_index, self.mean_us[request.event.class_index]
            elapsed_us = min(event.elapsed_us, 2 * self.half_aim_us(index))
            self.mean_us[index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
        if event.final or request.is_closed:
            self.close(request)
        elif request.in_flight == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in RETRYABLE and self.may_send(request) and self.retry_budget.balance >= 1.0:
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
            for number in self.endpoints.keys() - {entry.id for entry in event.endpoints}:
                self.forget(number)
        self.open_rested()  # hazard: without a draw nothing else would take off what is over
        new, restarted = [], []
        for entry in event.endpoints:
            if entry.state is not EndpointStatus.READY:
                self.forget(entry.id)
                continue
            away = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
            pool = self.groups[int(away)]
            server = self.endpoints.get(entry.id)
            if server is None:
                server = self.endpoints[entry.id] = EndpointState(entry, pool, len(self.mean_us))
                new.append(server)
            else:
                server.group.capacity -= self.size(server.listed)
            server.group.capacity += self.size(entry)
            server.fast_growth |= event.kind is ListKind.CACHED
            if server.listed.started_us != entry.started_us or server.next_warm_up_send == 0:
                restarted.append(server)
            self.leave_mates(server)
            server.listed = entry
            for place in (("zone", entry.zone), ("cell", entry.cell)):
                self.mates.setdefault(place, {})[entry.id] = server
            if self.warmth(server) < 1.0:
                for group in (server.group.active, server.group.standby):
                    group.discard(entry.id)
                server.group.warming.set(entry.id, 0.0)
                heapq.heappush(self.rests, (entry.started_us + self.settings.warm_up_us, entry.id))
            else:
                server.group.warming.discard(entry.id)
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
            if number in self.endpoints:
                self.endpoints[number].peer_penalties = None
        self.hearsay = set()
        most = int(MOST_DISTRUSTED * len(self.endpoints))
        left = [most] * len(self.settings.classes)
        for (number, index), part in sorted(event.penalties.items(), key=lambda each: -each[1]):
            server = self.endpoints.get(number)
            if server is not None and index < len(left) and left[index] > 0 and part > 0.0:
                left[index] -= 1
                server.peer_penalties = (server.peer_penalties or {}) | {index: min(1.0, part)}
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
            while unheard and (
                unheard[0].outcome is not None or unheard[0].sent_at_us + after_us <= self.now_us
            ):
                attempt = unheard.popleft()
                if attempt.outcome is None:
                    self.on_silence(attempt)
            if unheard:
                self.wanted_us = min(self.wanted_us, unheard[0].sent_at_us + after_us)
