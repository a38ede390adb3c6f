"""Counts the lines of code that a call runs: a measure of its cost that no busy machine changes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of Python run during a call."""
    lines = 0

    def trace(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    traced = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(traced)
    return lines
