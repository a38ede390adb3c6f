"""What the outcome of an attempt says about the request and about the endpoint."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome

# The request was certainly not executed, so any request may be sent again.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# A failure that frees the slot much sooner than a response would.
IMMEDIATE_FAILURES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
FAULTS = (*IMMEDIATE_FAILURES, Outcome.MALFORMED)
# The endpoint has done the work, so the elapsed time is a response time.
RESPONDED = (Outcome.OK, Outcome.MALFORMED)
# Timeouts count as response times: a slow fleet must not be judged by its few fast responses alone.
TIMED = (*RESPONDED, Outcome.TIMEOUT)
# Outcomes that say something about the endpoint's load.
LOAD_SIGNALS = (*TIMED, Outcome.REJECTED)
# Malformed responses are retried too: an endpoint that corrupts some responses would otherwise lose them all.
RETRYABLE = (*FAULTS, Outcome.TIMEOUT)
