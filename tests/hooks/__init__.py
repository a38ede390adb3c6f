"""Tests of the WebAssembly hooks."""
