"""What hooks cost a request: `python -m benchmarks.hook_cost`.

The whole way of a request's head through its route's hooks (what is told of it, the calls, the verdicts and
their checks), in microseconds, for none, one and five hooks that allow, for the worked examples in both
languages, and for one with a fresh instance a request; all take short turns in one run. Bytes that an open
request holds for its hooks, and that an instance holds. Bar: 60 us for one hook (an aim for this machine).
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

import wasmtime

from benchmarks.report import Bar, close, table
from plovertrail.clock import clock_us
from plovertrail.config.hooks import HookSetup
from plovertrail.decisions.settings import RequestClass
from plovertrail.hooks.chain import Chain, RequestRefusedError, Seen, Trail, make_chain
from plovertrail.hooks.engine import Bounds, Instance, Runtime
from plovertrail.hooks.hook import Hook

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples" / "hooks"
ALLOW = """(module (memory (export "memory") 2) (global (export "plovertrail_abi") i32 (i32.const 1))
    (global (export "plovertrail_buffer") i32 (i32.const 1024))
    (global (export "plovertrail_buffer_size") i32 (i32.const 65536))
    (func (export "on_request") (result i32) (i32.const 0)))"""
HEADERS = [
    (b"Host", b"shop.example"),
    (b"User-Agent", b"reader/3"),
    (b"Accept", b"*/*"),
    (b"Accept-Encoding", b"gzip"),
    (b"Cookie", b"session=0123456789abcdef"),
    (b"X-Promo-Code", b"NONE"),
    (b"X-Request-Id", b"9b1f03aa5c7e2d41"),
    (b"Content-Length", b"0"),
]
ROUNDS = 20
INSTANCES = 50


def chain(runtime: Runtime, module: bytes, hooks: int, reuse: int = 1000) -> Chain:
    """So many hooks of one module."""
    compiled = runtime.compile_module(module)
    made = [
        Hook(
            runtime,
            HookSetup(f"h{n}", "", 500_000, 1 << 20, reuse, 0, (("codes", "A,B,C"),), ("blocked", "tagged")),
            compiled,
            clock_us,
        )
        for n in range(hooks)
    ]
    return make_chain("r", made, frozenset(), "buy", {"buy": RequestClass("buy", 1, 1)}, False)


def trail(through: Chain) -> Trail:
    """Take one request through the first phase of a chain of hooks."""
    seen = Seen(b"POST", "/serials/kidlat/7", b"", "shop.example", "192.0.2.1", HEADERS, b"", b"kidlat")
    made = Trail(through, seen, clock_us() + 1_000_000, clock_us)
    try:
        made.request()
    except RequestRefusedError:
        raise SystemExit("a hook that should allow has refused, or faulted") from None
    made.changes.apply(HEADERS)
    return made


def request_bytes(through: Chain | None) -> float:
    """What a request that is open holds for its hooks."""
    if through is None:
        return 0.0
    tracemalloc.start()
    held = [trail(through) for _ in range(1000)]
    found = tracemalloc.get_traced_memory()[0] / len(held)
    tracemalloc.stop()
    return found


def instance_bytes(runtime: Runtime) -> float:
    """Resident bytes of one instance, as the kernel counts them."""
    compiled = runtime.compile_module(bytes(wasmtime.wat2wasm(ALLOW)))

    def resident() -> int:
        return int(Path("/proc/self/statm").read_text().split()[1]) * 4096

    before = resident()
    kept = [Instance(runtime, compiled, Bounds(500_000, 1 << 20)) for _ in range(INSTANCES)]
    for each in kept:
        each.call("on_request", b"x" * 500)
    return (resident() - before) / len(kept)


def main() -> int:
    """Measure chains of several lengths and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000, help="of each kind")
    options = parser.parse_args()
    runtime = Runtime()
    runtime.start()
    allow = bytes(wasmtime.wat2wasm(ALLOW))
    promo = bytes(wasmtime.wat2wasm((EXAMPLES / "promo_block.wat").read_text()))
    script = (EXAMPLES / "assemblyscript" / "promo_block.wasm").read_bytes()
    chains = {
        "none": None,
        "one": chain(runtime, allow, 1),
        "five": chain(runtime, allow, 5),
        "promo_block in WAT": chain(runtime, promo, 1),
        "promo_block in AssemblyScript": chain(runtime, script, 1),
        "one, a fresh instance each": chain(runtime, allow, 1, reuse=1),
    }
    found: dict[str, list[float]] = {name: [] for name in chains}
    count = max(1, options.requests // ROUNDS)
    for _ in range(ROUNDS):
        for name, through in chains.items():
            began = time.perf_counter()
            for _ in range(count):
                if through is not None:  # as a listener asks
                    trail(through)
            found[name].append((time.perf_counter() - began) / count * 1e6)
    took = {name: statistics.median(each) for name, each in found.items()}
    open_bytes = {
        name: request_bytes(through) for name in ("none", "one", "five") for through in [chains[name]]
    }
    of_instance = instance_bytes(runtime)
    runtime.stop()
    table(["hooks", "us a request"], [[name, each] for name, each in took.items()])
    told = ", ".join(f"{each:.0f} ({name})" for name, each in open_bytes.items())
    print(f"bytes an open request: {told}; {of_instance:.0f} bytes an instance beside its memory")
    figures: dict[str, object] = {name: round(each, 1) for name, each in took.items()}
    figures |= {f"bytes an open request, {name}": round(each) for name, each in open_bytes.items()}
    figures["bytes an instance"] = round(of_instance)
    return close("hook_cost", figures, [Bar("one hook, us a request", took["one"], 60.0)])


if __name__ == "__main__":
    sys.exit(main())
