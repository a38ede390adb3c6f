"""Tests of the benchmarks in their short forms."""
