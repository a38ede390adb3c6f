"""Hooks that would break the rules if they could, for tests and benchmarks; in WebAssembly's text form.

Each behaves while it is told little, as in the trial before it comes into force, and turns bad on a request
whose path is long.
"""

from __future__ import annotations

from dataclasses import dataclass

import wasmtime

from plovertrail.decisions.verdicts import Verdict
from plovertrail.hooks import abi

BUFFER, SIZE = 1024, 48 << 10
TURNS_BAD_FROM = 500  # bytes told
BAD_PATH = "x" * TURNS_BAD_FROM


@dataclass(frozen=True, slots=True)
class Hostile:
    """One bad idea."""

    name: str
    phase: str
    body: str
    data: bytes = b""  # a verdict that it has
    extra: str = ""
    fuel: int = 500_000
    state: bool = False  # it counts its calls in a global, and is bad in every third


def _says(name: str, verdict: Verdict | bytes, phase: str = "on_request") -> Hostile:
    data = verdict if isinstance(verdict, bytes) else abi.write_verdict(verdict)
    body = (
        f"(memory.init $verdict (i32.const {BUFFER}) (i32.const 0) (i32.const {len(data)}))"
        f"(i32.const {len(data)})"
    )
    return Hostile(name, phase, body, data)


LOOP = "(loop $l (br $l)) (i32.const 0)"
FILL = "(loop $l (memory.fill (i32.const 0) (i32.const 1) (i32.const 65536)) (br $l)) (i32.const 0)"
GROW = (
    "(loop $l (br_if $l (i32.ne (memory.grow (i32.const 1)) (i32.const -1))))"
    "(i32.load (i32.mul (memory.size) (i32.const 65536)))"
)
DEEP = "(func $deep (param i32) (result i32) (call $deep (i32.add (local.get 0) (i32.const 1))))"

HOSTILE = (
    Hostile("trap", "on_request", "unreachable"),
    Hostile("trap_sometimes", "on_request", "unreachable", state=True),
    Hostile("endless", "on_request", LOOP, fuel=50_000_000),
    Hostile("slow_bulk", "on_request", FILL, fuel=50_000_000),
    Hostile("deep", "on_request", "(call $deep (i32.const 0))", extra=DEEP),
    Hostile("out_of_bounds", "on_request", "(i32.load (i32.const 0x7ffffff0))"),
    Hostile("memory", "on_request", GROW),
    Hostile("long_verdict", "on_request", f"(i32.const {SIZE + 1})"),
    Hostile("noise", "on_request", f"(i32.const {SIZE})"),
    _says("resend", Verdict(refuse=408, body=b"send it again")),
    _says("success", Verdict(refuse=200, body=b"bought")),
    _says("laxer_class", Verdict(class_name=b"read")),
    _says("other_key", Verdict(set_headers=[(b"Idempotency-Key", b"the same for all")])),
    _says("other_id", Verdict(set_headers=[(b"X-Request-Id", b"the same for all")])),
    _says("more_time", Verdict(set_headers=[(b"X-Deadline-Ms", b"600000")])),
    _says("split", Verdict(set_headers=[(b"X-A", b"1\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1")])),
    _says("smuggle", Verdict(set_headers=[(b"Transfer-Encoding", b"chunked")])),
    _says("log_flood", Verdict(logs=[b"x" * 200] * 4)),
    _says("unknown_tag", abi.record(99, b"attempts=9")),
    _says("refuse_all", Verdict(refuse=403, body=b"no")),
    Hostile("trap_on_answer", "on_answer", "unreachable"),
    _says("not_run", Verdict(set_headers=[(b"X-Not-Run", b"1")]), "on_answer"),
    _says("come_back", Verdict(set_headers=[(b"Retry-After", b"0")]), "on_answer"),
    _says("answer_split", Verdict(set_headers=[(b"X-A", b"\r\n\r\nHTTP/1.1 200 OK")]), "on_answer"),
    Hostile("endless_end", "on_end", LOOP, fuel=50_000_000),
)


def module(hostile: Hostile) -> bytes:
    """Its WebAssembly."""
    text = "".join(f"\\{byte:02x}" for byte in hostile.data)
    behaves = f"(i32.lt_u (i32.load (i32.const {BUFFER})) (i32.const {TURNS_BAD_FROM}))"
    if hostile.state:
        behaves = f"(i32.or {behaves} (i32.rem_u (global.get $calls) (i32.const 3)))"
    return bytes(
        wasmtime.wat2wasm(f"""(module
        (memory (export "memory") 2)
        (global $calls (mut i32) (i32.const 0))
        (global (export "plovertrail_abi") i32 (i32.const {abi.VERSION}))
        (global (export "plovertrail_buffer") i32 (i32.const {BUFFER}))
        (global (export "plovertrail_buffer_size") i32 (i32.const {SIZE}))
        (data $verdict "{text}") {hostile.extra}
        (func (export "{hostile.phase}") (result i32)
          (global.set $calls (i32.add (global.get $calls) (i32.const 1)))
          (if {behaves} (then (return (i32.const 0))))
          {hostile.body}))""")
    )
