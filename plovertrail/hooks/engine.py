"""Runs modules in wasmtime: compiled once by their content, bounded in fuel, time, memory and stack.

An instance is called on the thread that made it: those in force on the event loop's, one call after the
other; those that are tried out on another one, where `compile_module` runs as well.
"""

from __future__ import annotations

import ctypes
import hashlib
import threading
from collections import OrderedDict
from dataclasses import dataclass

import wasmtime
from wasmtime import _ffi as ffi

from plovertrail.hooks import abi
from plovertrail.hooks.bounds import (
    EPOCHS_OF_A_CALL,
    LARGEST_BUFFER,
    LARGEST_MEMORY,
    LARGEST_MODULE,
    LEAST_BUFFER,
    MOST_COMPILED,
    MOST_TABLE,
    PHASES,
    STACK_BYTES,
    START_FUEL,
    TICK_S,
    HookError,
    RequestTooLongError,
)
from plovertrail.hooks.call_clock import CallClock

_TrapPointer = ctypes.POINTER(ffi.wasm_trap_t)
_Result = ffi.wasmtime_val_t * 1


class InvalidModuleError(Exception):
    """A file that is no hook; the text says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Compiled:
    """A module that is a hook by its form."""

    digest: str
    module: wasmtime.InstancePre
    phases: frozenset[str]
    buffer: int  # where its buffer is in its memory
    size: int  # of the buffer


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one call may use."""

    fuel: int
    memory: int  # bytes


def _engine() -> wasmtime.Engine:
    config = wasmtime.Config()
    config.consume_fuel = True
    config.epoch_interruption = True
    config.max_wasm_stack = STACK_BYTES
    config.wasm_threads = False
    config.wasm_memory64 = False
    config.wasm_multi_memory = False
    # hazard: address space is reserved for each instance's memory, 4 GiB by default, and `ulimit -v` binds
    config.memory_reservation = LARGEST_BUFFER
    config.memory_reservation_for_growth = 0
    config.parallel_compilation = False  # hazard: a reload would take every core from the requests
    return wasmtime.Engine(config)


class Runtime:
    """One engine, its compiled modules, and the clock that stops calls. One a process."""

    def __init__(self, tick_s: float = TICK_S) -> None:
        self.engine = _engine()
        self.clock = CallClock(self.engine, tick_s)
        self.linker = wasmtime.Linker(self.engine)  # hooks import nothing
        self._compiled: OrderedDict[str, Compiled] = OrderedDict()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Begin to tick: from now on calls are bounded in time."""
        self.clock.start()

    def stop(self) -> None:
        """End the clock."""
        self.clock.stop()

    def compile_module(self, data: bytes) -> Compiled:
        """Compile the module in a file's bytes, or take it from the cache if its content is known.

        Takes milliseconds: not for the event loop. Raises InvalidModuleError.
        """
        digest = hashlib.sha256(data).hexdigest()
        with self._lock:
            if digest in self._compiled:
                self._compiled.move_to_end(digest)
                return self._compiled[digest]
            made = self._compile(data, digest)
            self._compiled[digest] = made
            while len(self._compiled) > MOST_COMPILED:
                self._compiled.popitem(last=False)
            return made

    def _compile(self, data: bytes, digest: str) -> Compiled:
        if len(data) > LARGEST_MODULE:
            raise InvalidModuleError(f"the module holds more than {LARGEST_MODULE >> 20} MiB")
        if not data.startswith(b"\0asm"):
            raise InvalidModuleError("not WebAssembly: it doesn't begin with the bytes of a module")
        try:
            module = wasmtime.Module(self.engine, data)
        except wasmtime.WasmtimeError as error:
            raise InvalidModuleError(f"it can't be compiled: {_first_line(error)}") from None
        if module.imports:
            names = ", ".join(f"{each.module}.{each.name}" for each in module.imports[:5])
            raise InvalidModuleError(f"it imports {names}; a hook imports nothing")
        exports = {each.name: each.type for each in module.exports}
        if not isinstance(exports.get("memory"), wasmtime.MemoryType):
            raise InvalidModuleError('it exports no memory called "memory"')
        for name in ("plovertrail_abi", "plovertrail_buffer", "plovertrail_buffer_size"):
            kind = exports.get(name)
            if not isinstance(kind, wasmtime.GlobalType) or str(kind.content) != "i32" or kind.mutable:
                raise InvalidModuleError(f'it exports no constant global called "{name}" of type i32')
        phases = frozenset(name for name in PHASES if name in exports)
        if not phases:
            raise InvalidModuleError(f"it exports none of {', '.join(PHASES)}")
        for name in phases:
            call = exports[name]
            if (
                not isinstance(call, wasmtime.FuncType)
                or call.params
                or [str(kind) for kind in call.results] != ["i32"]
            ):
                raise InvalidModuleError(
                    f"{name} must be a function of no parameters and one i32 as its result"
                )
        return Compiled(digest, self.linker.instantiate_pre(module), phases, *self._layout(module))

    def _layout(self, module: wasmtime.Module) -> tuple[int, int]:
        """Where its buffer is, and its size. Constants, so they are asked for once."""
        store = wasmtime.Store(self.engine)
        limit(store, LARGEST_MEMORY)
        thread = self.clock.this_thread()
        thread.enter()
        try:
            exports = self.linker.instantiate(store, module).exports(store)
        except (wasmtime.WasmtimeError, wasmtime.Trap) as error:
            raise InvalidModuleError(f"it can't be started: {_first_line(error)}") from None
        finally:
            thread.leave()
        version, buffer, size = (
            int(exports[name].value(store))  # type: ignore[union-attr]
            for name in ("plovertrail_abi", "plovertrail_buffer", "plovertrail_buffer_size")
        )
        if version != abi.VERSION:
            raise InvalidModuleError(
                f"it is written for version {version} of the interface; this is {abi.VERSION}"
            )
        if not LEAST_BUFFER <= size <= LARGEST_BUFFER:
            raise InvalidModuleError(f"its buffer has {size} bytes, not {LEAST_BUFFER} to {LARGEST_BUFFER}")
        memory = exports["memory"]
        assert isinstance(memory, wasmtime.Memory)
        if buffer < 0 or buffer + size > memory.data_len(store):
            raise InvalidModuleError("its buffer goes over the end of its memory")
        return buffer, size


def limit(store: wasmtime.Store, memory: int) -> None:
    """Bounds for the start of an instance."""
    store.set_limits(memory_size=memory, table_elements=MOST_TABLE, instances=1, tables=4, memories=1)
    store.set_fuel(START_FUEL)
    store.set_epoch_deadline(EPOCHS_OF_A_CALL)


class Instance:
    """One instance of a module, with a memory of its own. Not to be used again after a fault."""

    def __init__(self, runtime: Runtime, compiled: Compiled, bounds: Bounds) -> None:
        """Raises HookError: a start function may do what any call may."""
        self.bounds = bounds
        self.buffer, self.size = compiled.buffer, compiled.size
        self.store = wasmtime.Store(runtime.engine)
        limit(self.store, bounds.memory)
        self.thread = runtime.clock.this_thread()
        self.thread.enter()
        try:
            exports = compiled.module.instantiate(self.store).exports(self.store)
        except (wasmtime.WasmtimeError, wasmtime.Trap) as error:
            raise HookError(f"it can't be started: {_first_line(error)}") from None
        finally:
            self.thread.leave()
        memory = exports["memory"]
        assert isinstance(memory, wasmtime.Memory)
        self.memory = memory
        self.calls = {
            name: call for name in compiled.phases if isinstance(call := exports[name], wasmtime.Func)
        }

    def call(self, phase: str, told: bytes) -> bytes:
        """One call, told of records; raises HookError. Records that don't fit into the buffer are a fault."""
        store, memory = self.store, self.memory
        told = abi.U32.pack(len(told)) + told
        if len(told) > self.size:
            raise RequestTooLongError(
                f"the request takes {len(told)} bytes, and the hook's buffer has {self.size}"
            )
        store.set_fuel(self.bounds.fuel)
        store.set_epoch_deadline(EPOCHS_OF_A_CALL)
        # hazard: a memory that grows may move, so its place is asked for anew each time; it never shrinks,
        # and the buffer was inside it at the start
        start = ctypes.addressof(memory.data_ptr(store).contents) + self.buffer
        ctypes.memmove(start, told, len(told))
        self.thread.enter()
        try:
            size = call_for_size(store, self.calls[phase])
        except wasmtime.Trap as trap:
            raise HookError(_trap_text(trap)) from None
        except wasmtime.WasmtimeError as error:
            raise HookError(_first_line(error)) from None
        finally:
            self.thread.leave()
        if size == 0:
            return b""
        if size < 0:
            raise HookError(f"the hook gave up with its own code {size}")
        if size > self.size:
            raise HookError(f"a verdict of {size} bytes in a buffer of {self.size}")
        start = ctypes.addressof(memory.data_ptr(store).contents) + self.buffer
        return ctypes.string_at(start, size)

    def fuel_left(self) -> int:
        """Of the last call."""
        return self.store.get_fuel()

    def memory_bytes(self) -> int:
        """The size of the instance's linear memory, in bytes."""
        return self.memory.data_len(self.store)


def call_for_size(store: wasmtime.Store, call: wasmtime.Func) -> int:
    """Call a function from nothing to an i32; raises Trap or WasmtimeError. What `call(store)` does, without
    its asking for the function's type each time, which takes four times as long as the call itself. These
    names are wasmtime's own: pyproject.toml pins its version, and the tests of faults go through here."""
    trap = _TrapPointer()
    result = _Result()
    error = ffi.wasmtime_func_call(
        store._context(), ctypes.byref(call._func), None, 0, result, 1, ctypes.byref(trap)
    )
    if error:
        raise wasmtime.WasmtimeError._from_ptr(error)
    if trap:
        raise wasmtime.Trap._from_ptr(trap)
    return int(result[0].of.i32)


def _trap_text(trap: wasmtime.Trap) -> str:
    code = trap.trap_code
    if code is wasmtime.TrapCode.OUT_OF_FUEL:
        return "it used up its fuel"
    if code is wasmtime.TrapCode.INTERRUPT:
        return "it ran for too long"
    return f"trap: {code.name.lower().replace('_', ' ') if code else _first_line(trap)}"


def _first_line(error: Exception) -> str:
    """What matters of wasmtime's text: the innermost cause."""
    lines = [line.strip() for line in str(error).splitlines() if line.strip()]
    return lines[-1][:200] if lines else type(error).__name__
