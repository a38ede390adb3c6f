"""Hooks for tests, good and hostile, written in WebAssembly's text form."""

from __future__ import annotations

from functools import cache

import wasmtime

from plovertrail.decisions.verdicts import Verdict
from plovertrail.hooks import abi

BUFFER = 1024
SIZE = 48 << 10


@cache
def module(
    on_request: str = "",
    on_answer: str = "",
    on_end: str = "",
    extra: str = "",
    abi_version: int = 1,
    buffer: int = BUFFER,
    size: int = SIZE,
    pages: int = 2,
) -> bytes:
    """A module with these bodies of its phases; one that has no body is not exported."""
    phases = {"on_request": on_request, "on_answer": on_answer, "on_end": on_end}
    functions = "".join(
        f'(func ${name} (export "{name}") (result i32) (local $i i32) {body})\n'
        for name, body in phases.items()
        if body
    )
    return bytes(
        wasmtime.wat2wasm(
            f"""(module
            (memory (export "memory") {pages})
            (global (export "plovertrail_abi") i32 (i32.const {abi_version}))
            (global (export "plovertrail_buffer") i32 (i32.const {buffer}))
            (global (export "plovertrail_buffer_size") i32 (i32.const {size}))
            {extra}
            {functions})"""
        )
    )


def saying(data: bytes) -> tuple[str, str]:
    """A body that writes these bytes as its verdict, and the data segment that it needs."""
    text = "".join(f"\\{byte:02x}" for byte in data)
    body = (
        f"(memory.init $verdict (i32.const {BUFFER}) (i32.const 0) (i32.const {len(data)}))"
        f"(i32.const {len(data)})"
    )
    return body, f'(data $verdict "{text}")'


def answering(phase: str, verdict: Verdict | bytes, **more: str) -> bytes:
    """A module that always has this verdict in one phase."""
    data = verdict if isinstance(verdict, bytes) else abi.write_verdict(verdict)
    body, segment = saying(data)
    return module(**{phase: body}, extra=segment, **more)


ALLOW = "(i32.const 0)"
TRAP = "unreachable"
LOOP = "(loop $l (br $l)) (i32.const 0)"
# bulk operations take much time for little fuel
SLOW_BULK = "(loop $l (memory.fill (i32.const 0) (i32.const 1) (i32.const 131072)) (br $l)) (i32.const 0)"
DEEP = "(call $deep (i32.const 0))"
DEEP_EXTRA = "(func $deep (param i32) (result i32) (call $deep (i32.add (local.get 0) (i32.const 1))))"
OUT_OF_BOUNDS = "(i32.load (i32.const 0x7ffffff0))"
TOO_LONG_VERDICT = f"(i32.const {SIZE + 1})"
OWN_ERROR = "(i32.const -7)"
# grows until it may not, then reaches beyond what it has
GROW = (
    "(loop $l (br_if $l (i32.ne (memory.grow (i32.const 1)) (i32.const -1))))"
    "(i32.load (i32.mul (memory.size) (i32.const 65536)))"
)
# echoes what it was told, as a verdict: noise to the reader
ECHO = f"(i32.const {SIZE})"
