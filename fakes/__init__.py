"""Servers and clients that do as told, on loopback addresses: for the demo, the tests and the benchmarks."""
