"""Which errors of a start are worth another try, as the system may be short of something for a moment."""

from __future__ import annotations

import errno
import logging
import time

log = logging.getLogger(__name__)

# Errors that pass without a change of the configuration; a predecessor may still hold the address.
TRANSIENT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EADDRINUSE,
)
RETRY_INTERVAL_S = 0.1
GIVE_UP_S = 25.0  # a process that takes 30 s to be ready has failed


class StartRetries:
    """The retries of a process that starts, until GIVE_UP_S after its creation."""

    def __init__(self) -> None:
        self.ends_s = time.monotonic() + GIVE_UP_S

    def may_retry(self, step: str, error: OSError) -> bool:
        """Log a failed step; returns whether it may be tried again after RETRY_INTERVAL_S."""
        may_retry = error.errno in TRANSIENT_ERRORS and time.monotonic() < self.ends_s
        log.warning("start failed step=%s error=%s retry=%s", step, error.strerror, may_retry)
        return may_retry
