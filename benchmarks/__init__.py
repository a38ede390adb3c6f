"""Measurements, one a module: `python -m benchmarks.NAME`."""
