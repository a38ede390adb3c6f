"""Operators' own rules in WebAssembly: docs/hooks.md."""
