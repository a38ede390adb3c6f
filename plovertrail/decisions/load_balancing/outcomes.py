"""Sets of attempt outcomes by what they imply for the request and for the endpoint."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome

# The request was certainly not executed, so requests of any class may be retried.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# Failures that end an attempt, and free its slot, much sooner than a response would.
IMMEDIATE_FAILURES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
FAULTS = (*IMMEDIATE_FAILURES, Outcome.MALFORMED)
# The endpoint has processed the request, so the elapsed time is a response time.
RESPONDED = (Outcome.OK, Outcome.MALFORMED)
# Timeouts count as response times: a slow fleet must not be measured by its few fast responses alone.
TIMED = (*RESPONDED, Outcome.TIMEOUT)
# Outcomes that indicate the endpoint's load.
LOAD_SIGNALS = (*TIMED, Outcome.REJECTED)
# Includes malformed responses: otherwise each request whose response is corrupted would be lost.
RETRYABLE = (*FAULTS, Outcome.TIMEOUT)
