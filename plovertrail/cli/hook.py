"""`plovertrail hook new|check|run FILE`, for those who write hooks."""

from __future__ import annotations

import json
import sys
import time
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING

import click

from plovertrail.config.hooks import HookSetup
from plovertrail.config.schema import LimitsTable
from plovertrail.config.tables import size_bytes

if TYPE_CHECKING:  # the engine is an extra, and only these commands need it
    from plovertrail.hooks.engine import Compiled, Runtime

TEMPLATES = {"wat": ("hook.wat",), "assemblyscript": ("hook.ts", "plovertrail.ts", "package.json")}
DEFAULT_HEAD = size_bytes(LimitsTable().max_head, "", [], 1, 1 << 20)
NO_MODULE = 2
FAULTED = 1


def module_bytes(path: str) -> bytes:
    """The module in a file; one in the text form (.wat) is translated. Exits where it can't be."""
    import wasmtime

    try:
        data = Path(path).read_bytes()
        return bytes(wasmtime.wat2wasm(data.decode())) if path.endswith(".wat") else data
    except (OSError, UnicodeDecodeError, wasmtime.WasmtimeError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(NO_MODULE)


def compiled_or_exit(path: str) -> tuple[Runtime, Compiled]:
    """Compile the module in a file, in a runtime of its own whose clock runs.

    Exits with NO_MODULE and a message if the engine is not installed or the file is no hook.
    """
    try:
        from plovertrail.hooks.engine import InvalidModuleError, Runtime
    except ImportError as error:
        click.echo(f"hooks can't be run here: {error}; install plovertrail[hooks]", err=True)
        sys.exit(NO_MODULE)
    runtime = Runtime()
    runtime.start()
    try:
        return runtime, runtime.compile_module(module_bytes(path))
    except InvalidModuleError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(NO_MODULE)


def settings(
    path: str, pairs: tuple[str, ...], counters: tuple[str, ...], fuel: int, memory: str, body: int
) -> HookSetup:
    """What the operator's file would say of it."""
    config = []
    for text in pairs:
        key, sign, value = text.partition("=")
        if not sign:
            raise click.BadParameter(f"{text!r} is no setting: write KEY=VALUE")
        config.append((key, value))
    problems: list[object] = []
    size = size_bytes(memory, "--memory", problems, 64 << 10, 64 << 20)  # type: ignore[arg-type]
    if problems:
        raise click.BadParameter(str(problems[0]))
    return HookSetup(Path(path).stem, path, fuel, size, 1, body, tuple(config), counters)


@click.group()
def hook() -> None:
    """For those who write hooks: begin one, check it, run it against a request."""


@hook.command()
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--language", type=click.Choice(sorted(TEMPLATES)), default="wat", show_default=True)
def new(folder: str, language: str) -> None:
    """Write the beginnings of a hook into FOLDER. Files that are there already stay as they are."""
    source = resources.files("plovertrail.hooks") / "templates"
    into = Path(folder)
    into.mkdir(parents=True, exist_ok=True)
    for name in TEMPLATES[language]:
        if (into / name).exists():
            click.echo(f"{into / name} is there already; write into another folder", err=True)
            sys.exit(NO_MODULE)
    for name in TEMPLATES[language]:
        (into / name).write_text((source / name).read_text())
        click.echo(str(into / name))
    if language == "assemblyscript":
        click.echo(f"then: cd {folder} && npm install && npm run build && plovertrail hook check hook.wasm")
    else:
        click.echo(f"then: plovertrail hook build {into / 'hook.wat'}")


@hook.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("-o", "--out", type=click.Path(dir_okay=False), help="Instead of FILE with .wasm at its end.")
def build(file: str, out: str | None) -> None:
    """Translate FILE in WebAssembly's text form (.wat) to a module."""
    data = module_bytes(file)
    target = Path(out) if out else Path(file).with_suffix(".wasm")
    target.write_bytes(data)
    click.echo(f"{target}: {len(data)} bytes")


@hook.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--config", "pairs", multiple=True, metavar="KEY=VALUE", help="A setting that it reads.")
@click.option("--counter", "counters", multiple=True, help="The name of a counter that it may count.")
@click.option("--fuel", default=500_000, show_default=True)
@click.option("--memory", default="1MiB", show_default=True)
@click.option("--body", default=0, show_default=True, help="Bytes of a request's body that it is told.")
def check(
    file: str, pairs: tuple[str, ...], counters: tuple[str, ...], fuel: int, memory: str, body: int
) -> None:
    """Check FILE as a daemon would before taking it: its form, its size, and a trial of each phase."""
    from plovertrail.hooks.engine import InvalidModuleError
    from plovertrail.hooks.trial import try_out

    setup = settings(file, pairs, counters, fuel, memory, body)
    runtime, compiled = compiled_or_exit(file)
    try:
        try_out(runtime, compiled, setup, DEFAULT_HEAD)
    except InvalidModuleError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(FAULTED)
    click.echo(f"{file}: good: {', '.join(sorted(compiled.phases))}; sha256 {compiled.digest}")


@hook.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--request",
    "path",
    type=click.Path(dir_okay=False),
    help="A JSON file: method, path, query, "
    "host, route, class, tenant, client, headers, body, may_choose, remaining_ms; status and "
    "outcome for the later phases.",
)
@click.option(
    "--phase",
    type=click.Choice(["on_request", "on_answer", "on_end"]),
    default="on_request",
    show_default=True,
)
@click.option("-H", "--header", "headers", multiple=True, help="A header more, as 'name: value'.")
@click.option("--config", "pairs", multiple=True, metavar="KEY=VALUE", help="A setting that it reads.")
@click.option("--counter", "counters", multiple=True, help="The name of a counter that it may count.")
@click.option("--fuel", default=500_000, show_default=True)
@click.option("--memory", default="1MiB", show_default=True)
@click.option("--body", default=0, show_default=True, help="Bytes of a request's body that it is told.")
def run(
    file: str,
    path: str | None,
    phase: str,
    headers: tuple[str, ...],
    pairs: tuple[str, ...],
    counters: tuple[str, ...],
    fuel: int,
    memory: str,
    body: int,
) -> None:
    """Run FILE against a written request, and print its verdict, the fuel and the time that it took. Sends
    nothing. Exits with 1 if it faults."""
    from plovertrail.decisions.verdicts import Allowed, InvalidVerdictError
    from plovertrail.hooks import abi
    from plovertrail.hooks.bounds import HookError
    from plovertrail.hooks.engine import Bounds, Instance
    from plovertrail.hooks.schema import WrittenRequest, told
    from plovertrail.hooks.trial import CHECKS

    setup = settings(file, pairs, counters, fuel, memory, body)
    try:
        request = WrittenRequest.read(Path(path).read_text() if path else "{}", headers)
    except (OSError, ValueError) as error:
        click.echo(f"{path or '--header'}: {error}", err=True)
        sys.exit(NO_MODULE)
    runtime, compiled = compiled_or_exit(file)
    if phase not in compiled.phases:
        click.echo(f"{file}: it has no phase {phase}", err=True)
        sys.exit(NO_MODULE)
    allowed = Allowed(
        (),
        frozenset(name.encode() for name in request.may_choose),
        frozenset(name.encode() for name in counters),
    )
    try:
        instance = Instance(runtime, compiled, Bounds(fuel, setup.memory))
        began = time.perf_counter()
        answer = instance.call(phase, told(request, phase, setup))
        took_us = (time.perf_counter() - began) * 1e6
        verdict = abi.read_verdict(answer)
        CHECKS[phase](verdict, allowed)
    except (HookError, InvalidVerdictError) as fault:
        click.echo(f"fault: {fault}")
        sys.exit(FAULTED)
    shown: dict[str, object] = {
        "refuse": verdict.refuse,
        "body": verdict.body.decode("utf-8", "replace"),
        "set_headers": [
            [name.decode("latin-1"), value.decode("latin-1")] for name, value in verdict.set_headers
        ],
        "remove_headers": [name.decode("latin-1") for name in verdict.remove_headers],
        "tenant": None if verdict.tenant is None else verdict.tenant.decode("latin-1"),
        "class": None if verdict.class_name is None else verdict.class_name.decode("latin-1"),
        "counts": {name.decode("latin-1"): by for name, by in verdict.counts},
        "logs": [line.decode("utf-8", "replace") for line in verdict.logs],
    }
    click.echo(json.dumps({key: value for key, value in shown.items() if value not in (0, "", [], {}, None)}))
    click.echo(
        f"fuel {fuel - instance.fuel_left()} of {fuel}, {took_us:.0f} us, "
        f"{instance.memory_bytes()} bytes of memory"
    )
