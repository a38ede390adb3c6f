"""Decides whether a response can be the one to the request that was last written on its connection.

An HTTP/1.1 response names no request: only its place on the connection tells which one it answers. An
endpoint, or a device before it, that sends one message too many makes each later response on that connection
the answer to the wrong request. Three observations bound the risk:

- a message that comes behind a response comes soon, so a connection is used again only after a delay: some
  times as long as such messages have taken;
- a message that was under way before the request was read comes sooner than endpoints can answer, so a
  response that is too early is deferred until the time in which the real one would follow;
- "never ran" in a stray message would let a request run twice, so it is believed only after that time too.

Messages that come unprompted, at the connect or with a request's first bytes, follow no response that a delay
could keep apart. While they have been seen lately, each connection carries one request that asks the endpoint
to close it, and the end of the stream tells which response was the last.

Times are whole microseconds (`_us`) on the process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_REUSE_DELAY_US = 5_000
MAX_REUSE_DELAY_US = 1_000_000
INITIAL_REUSE_DELAY_US = 50_000  # before it is known how the endpoints behave
CLEAN_REUSE_DECAY = 0.95  # of the initial delay, for each connection that was clean when used again
REUSE_DELAY_FACTOR = 4  # the delay is this many times as long as stray messages have taken
REUSE_DELAY_HALF_LIFE_US = 30_000_000  # of the delay that was learned from strays
EARLY_FRACTION = 0.5  # of the median response time, at first; a response that takes less is early
SUSPICION_EARLY_FRACTION = 0.5  # of the median, at most, by how long unprompted messages have taken
DEFERRAL_MEDIANS = 3  # a response is deferred until this many median response times after its request
INITIAL_DEFERRAL_US = 100_000  # while the median is unknown
INITIAL_END_WAIT_US = 500_000  # for the end of a connection that was to be closed, while it is unknown
MIN_NOT_RUN_DEFERRAL = 0.7  # of the deferral of "never ran", once that has proved true often
NOT_RUN_RELAXATION = 0.5  # of that time, for each one that proved true
MAX_REUSE_WAIT_US = 20_000  # for which a request waits, rather than open another connection
MAX_DEFERRAL_FRACTION = 0.5  # of the attempt's timeout
MIN_CLOSING_RATE = 0.5  # of connections closed as asked; with less it proves nothing to be kept
CLOSING_RATE_WINDOW = 8  # connections over which that rate is averaged
END_WAIT_FRACTION = 0.5  # of the median: how long the end of the stream may come behind the response
MIN_END_WAIT_US = 10_000
MAX_END_WAIT_US = 100_000
MIN_SAMPLES = 3  # response times from which the median is known
MEDIAN_STEP = 0.05  # relative change of the estimated median for each response
FALSE_ALARMS_TO_RELAX = 2  # early responses that were no strays, after which "early" means half the time
STRICTNESS_RECOVERY = 1.001  # for each response that is not early
MIN_SUSPICION_US = 5_000_000
MAX_SUSPICION_US = 60_000_000
SUSPICION_MEMORY_US = (
    120_000_000  # a suspicion that begins anew within this time lasts twice as long as before
)


@dataclass(frozen=True, slots=True)
class ResponseTiming:
    """When a response came, and on what connection."""

    class_index: int
    elapsed_us: int  # since its request was written
    timeout_us: int  # of its attempt; 0: none
    idle_us: int | None  # for how long its connection was idle before the request; None: it was new
    claims_not_run: bool  # it says that the request has not run, and the request must not run twice
    served: bool  # it is a response that would be given to the client
    single_use: bool = False  # its request asked the endpoint to close the connection


class ResponseTimes:
    """The response times of one request class: a running median, and how early is too early."""

    __slots__ = ("_samples", "_median_us", "_strictness", "_false_alarms")

    def __init__(self) -> None:
        self._samples: list[int] = []
        self._median_us = 0.0  # 0: unknown
        self._strictness = 1.0
        self._false_alarms = 0

    @property
    def median_us(self) -> float:
        """The median; 0 while it is unknown."""
        return self._median_us

    @property
    def early_us(self) -> float:
        """A response that takes less time than this is early; 0 while that is unknown."""
        return self._median_us * EARLY_FRACTION * self._strictness

    def record(self, elapsed_us: int) -> None:
        """Record the time of a response that was accepted."""
        if elapsed_us >= self.early_us:
            self._strictness = min(1.0, self._strictness * STRICTNESS_RECOVERY)
        if self._median_us:
            factor = 1.0 + MEDIAN_STEP
            self._median_us = max(
                1.0, self._median_us * factor if elapsed_us > self._median_us else self._median_us / factor
            )
            return
        self._samples.append(elapsed_us)
        if len(self._samples) == MIN_SAMPLES:
            self._median_us = max(1.0, float(sorted(self._samples)[MIN_SAMPLES // 2]))
            self._samples.clear()

    def record_false_alarm(self) -> None:
        """Record that an early response was no stray: some endpoints do answer that fast."""
        self._false_alarms += 1
        if self._false_alarms >= FALSE_ALARMS_TO_RELAX:
            self._false_alarms = 0
            self._strictness *= 0.5

    def record_stray(self) -> None:
        """Record that an early response was a stray."""
        self._false_alarms = 0
        self._strictness = 1.0


class ResponseAttribution:
    """Statistics on the stray messages and response times of the endpoints of one pool."""

    __slots__ = (
        "_times",
        "_initial_delay_us",
        "_learned_delay_us",
        "_learned_at_us",
        "_suspicious_until_us",
        "_suspicion_us",
        "_unprompted_delay_us",
        "_closing_rate",
        "_not_run_deferral",
    )

    def __init__(self) -> None:
        self._times: dict[int, ResponseTimes] = {}
        self._initial_delay_us = float(INITIAL_REUSE_DELAY_US)
        self._learned_delay_us = 0.0
        self._learned_at_us = 0
        self._suspicious_until_us = 0
        self._suspicion_us = 0
        self._unprompted_delay_us = 0  # the longest since the suspicion began
        self._closing_rate = 1.0
        self._not_run_deferral = 1.0

    # What strays tell

    def record_late_stray(self, delay_us: int, now_us: int) -> None:
        """Record a message that came `delay_us` after a response."""
        self._not_run_deferral = 1.0
        reuse_delay_us = float(min(MAX_REUSE_DELAY_US, REUSE_DELAY_FACTOR * delay_us))
        self._learned_delay_us = max(reuse_delay_us, self._learned_delay(now_us))
        self._learned_at_us = now_us

    def record_unprompted_stray(self, delay_us: int, now_us: int) -> None:
        """Record a message that no earlier response explains, `delay_us` after the connect or the request."""
        self._not_run_deferral = 1.0
        if now_us < self._suspicious_until_us:
            self._suspicious_until_us = now_us + self._suspicion_us
            self._unprompted_delay_us = max(self._unprompted_delay_us, delay_us)
            return
        self._unprompted_delay_us = delay_us
        recent = self._suspicion_us and now_us < self._suspicious_until_us + SUSPICION_MEMORY_US
        self._suspicion_us = min(MAX_SUSPICION_US, 2 * self._suspicion_us) if recent else MIN_SUSPICION_US
        self._suspicious_until_us = now_us + self._suspicion_us

    def record_clean_reuse(self) -> None:
        """Record that nothing had come on a connection when it was used again."""
        self._initial_delay_us *= CLEAN_REUSE_DECAY

    # What follows for connections

    def reuse_delay_us(self, now_us: int) -> int:
        """Return for how long a connection has to be idle before it is used again."""
        return int(max(MIN_REUSE_DELAY_US, self._initial_delay_us, self._learned_delay(now_us)))

    def is_suspicious(self, now_us: int) -> bool:
        """Return whether unprompted messages came lately, so that each connection carries one request."""
        return now_us < self._suspicious_until_us

    def is_inexperienced(self, class_index: int) -> bool:
        """Return whether the response times of a class are unknown, so that no response can be found early.

        Its requests better ask their endpoints to close the connection, so that the end of the stream tells
        which response was the last. Endpoints that keep connections make no use of it.
        """
        return self._endpoints_close and not self._of_class(class_index).median_us

    def _learned_delay(self, now_us: int) -> float:
        if not self._learned_delay_us:
            return 0.0
        half_lives = (now_us - self._learned_at_us) / REUSE_DELAY_HALF_LIFE_US
        return float(self._learned_delay_us * 0.5**half_lives)

    # What follows for responses

    def deferral_us(self, timing: ResponseTiming, now_us: int) -> int:
        """Return for how long a response is deferred, as another one may follow; 0: it is accepted.

        If the stream ends meanwhile, no other one follows.
        """
        if timing.claims_not_run or (timing.served and self._is_suspect(timing, now_us)):
            deferral_us = self._deferral_until_us(timing) - timing.elapsed_us
        elif timing.single_use and timing.served:
            deferral_us = self._end_wait_us(timing)
            if self._endpoints_close:
                deferral_us = max(deferral_us, self._deferral_until_us(timing) - timing.elapsed_us)
        else:
            deferral_us = 0
        return deferral_us

    def may_reuse(self, timing: ResponseTiming) -> bool:
        """Return whether a connection may carry another request after this response.

        An error that comes before the real response could have is passed on at once, as it claims nothing. If
        it was a stray, the real one comes later, and would meet the next request.
        """
        is_error = not timing.served and not timing.claims_not_run
        return not is_error or timing.elapsed_us >= self._deferral_until_us(timing)

    def accepts_after_deferral(self, timing: ResponseTiming, stream_ended: bool, now_us: int) -> bool:
        """Return whether a response is accepted that was deferred and that no other one has followed.

        While unprompted messages are seen, an early one may be all that an endpoint has sent so far. "Never
        ran" is then believed only if the endpoint has closed the connection behind it, as it was asked to.
        """
        awaits_end = timing.single_use and self._endpoints_close
        has_no_end = timing.claims_not_run and not stream_ended
        if has_no_end and (awaits_end or self._is_deferral_cut_short(timing)):
            return False
        if not self.is_suspicious(now_us):
            return True
        if self.is_early(timing):
            return False
        if timing.claims_not_run or awaits_end:
            return timing.single_use and stream_ended
        return True

    def accepts_replacement(self, first: ResponseTiming, second: ResponseTiming, same: bool) -> bool:
        """Return whether the second of two messages is accepted as the response.

        It is if the first one came too early, or if both say the `same`. Else either may be the stray, and
        "never ran" in one of two messages proves nothing.
        """
        if second.claims_not_run or self.is_early(second):
            return False
        return same or self.is_early(first)

    def record_single_use(self, closed: bool) -> None:
        """Record whether an endpoint has closed a connection behind its response, as it was asked to."""
        self._closing_rate += (float(closed) - self._closing_rate) / CLOSING_RATE_WINDOW

    @property
    def _endpoints_close(self) -> bool:
        return self._closing_rate >= MIN_CLOSING_RATE

    def is_early(self, timing: ResponseTiming) -> bool:
        """Return whether a response came sooner than endpoints can answer."""
        return timing.elapsed_us < self._of_class(timing.class_index).early_us

    def _is_suspect(self, timing: ResponseTiming, now_us: int) -> bool:
        """Return whether a response is early, or its connection was used again too soon, as is now known.

        While response times are unknown, each may be early. The delay may have been lengthened since the
        request was written.
        """
        if self.is_early(timing) or not self._of_class(timing.class_index).median_us:
            return True
        if self.is_suspicious(now_us) and timing.elapsed_us < self._suspicion_early_us(timing.class_index):
            return True
        return timing.idle_us is not None and timing.idle_us + timing.elapsed_us < self._learned_delay(now_us)

    def _suspicion_early_us(self, class_index: int) -> float:
        """Return the limit of early responses under suspicion, by the delays of unprompted ones."""
        median_us = self._of_class(class_index).median_us
        return min(
            SUSPICION_EARLY_FRACTION * median_us, float(REUSE_DELAY_FACTOR * self._unprompted_delay_us)
        )

    def _end_wait_us(self, timing: ResponseTiming) -> int:
        median_us = self._of_class(timing.class_index).median_us
        return int(max(MIN_END_WAIT_US, min(MAX_END_WAIT_US, END_WAIT_FRACTION * median_us)))

    def _is_deferral_cut_short(self, timing: ResponseTiming) -> bool:
        """Return whether the attempt's timeout leaves less time than most real responses take."""
        median_us = self._of_class(timing.class_index).median_us
        least_us = MIN_NOT_RUN_DEFERRAL * DEFERRAL_MEDIANS * median_us
        return bool(timing.timeout_us) and MAX_DEFERRAL_FRACTION * timing.timeout_us < least_us

    def _deferral_until_us(self, timing: ResponseTiming) -> int:
        median_us = self._of_class(timing.class_index).median_us
        awaits_end = timing.single_use and self._endpoints_close
        initial_us = INITIAL_END_WAIT_US if awaits_end else INITIAL_DEFERRAL_US
        until_us = DEFERRAL_MEDIANS * median_us or initial_us
        if timing.claims_not_run:
            until_us *= self._not_run_deferral
        return int(
            min(until_us, MAX_DEFERRAL_FRACTION * timing.timeout_us) if timing.timeout_us else until_us
        )

    def record_accepted(self, timing: ResponseTiming, deferred: bool) -> None:
        """Record a response that was accepted; `deferred`: it had been deferred, and no other one came."""
        if timing.claims_not_run and deferred:
            self._not_run_deferral = max(MIN_NOT_RUN_DEFERRAL, NOT_RUN_RELAXATION * self._not_run_deferral)
        if not timing.served:
            return
        times = self._of_class(timing.class_index)
        if deferred and self.is_early(timing):
            times.record_false_alarm()
        times.record(timing.elapsed_us)

    def record_unfollowed(self, timing: ResponseTiming) -> None:
        """Record a response that was not accepted, though no other one came for its request.

        Its time counts too: if all responses are early, the median is too high.
        """
        if timing.served and self.is_early(timing):
            self._of_class(timing.class_index).record_false_alarm()

    def record_pair(self, first: ResponseTiming, second: ResponseTiming, same: bool, now_us: int) -> None:
        """Record two messages that came for one request; `same`: they say the same."""
        if same:
            self.record_late_stray(second.elapsed_us - first.elapsed_us, now_us)
            return
        self._of_class(first.class_index).record_stray()
        if first.idle_us is not None:
            self.record_late_stray(first.idle_us + first.elapsed_us, now_us)
        if first.idle_us is None or self.is_early(first):
            self.record_unprompted_stray(first.elapsed_us, now_us)

    def _of_class(self, class_index: int) -> ResponseTimes:
        times = self._times.get(class_index)
        if times is None:
            times = self._times[class_index] = ResponseTimes()
        return times
