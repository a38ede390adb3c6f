"""For all tests: drawn examples are the same at each run, so that the verdict is."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.load_profile("same")
