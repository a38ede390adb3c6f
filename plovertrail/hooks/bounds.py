"""What calls of hooks are bounded by, and how they fail; light, as listeners load it in any case."""

from __future__ import annotations

PHASES = ("on_request", "on_answer", "on_end")
TICK_S = 0.005  # between two looks of the clock that stops calls, which goes by CPU time
EPOCHS_OF_A_CALL = 2  # the clock counts one in each tick that a call uses up; at the second it is stopped
LONGEST_CALL_US = int(EPOCHS_OF_A_CALL * TICK_S * 1e6)  # and what a loaded machine adds
STACK_BYTES = 256 << 10
LARGEST_MODULE = 4 << 20
LEAST_BUFFER = 4 << 10
LARGEST_BUFFER = 1 << 20
LARGEST_MEMORY = 64 << 20  # that the operator's file may allow an instance
MOST_TABLE = 10_000  # entries of a module's tables
START_FUEL = 1_000_000  # for a start function
MOST_COMPILED = 64  # modules kept in the cache


class HookError(Exception):
    """A call that went wrong."""


class RequestTooLongError(HookError):
    """The request doesn't fit into the hook's buffer, which is not the hook's doing."""
