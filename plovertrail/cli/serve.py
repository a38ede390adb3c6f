"""`plovertrail serve FILE`"""

from __future__ import annotations

import asyncio
import sys

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.daemon import process
from plovertrail.logs import log_to_stderr
from plovertrail.stall_detector import StallDetectingLoop

LONGEST_TEST_S = 300.0
LONGEST_TOLD = 4000  # characters of what broke


async def held_to(file: str, expectations: tuple[str, ...]) -> str:
    """What breaks of a file's expectations, as `plovertrail test` tells it; empty if nothing does. In another
    process: a rehearsal takes the CPU for seconds, and open requests must not wait for it."""
    asks = [part for path in expectations for part in ("--expect", path)]
    test = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plovertrail.cli",
        "test",
        file,
        *asks,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(LONGEST_TEST_S):
            told, _ = await test.communicate()
    except TimeoutError:
        test.kill()
        await test.wait()
        return f"its tests took longer than {LONGEST_TEST_S:g} s"
    return "" if test.returncode == 0 else f"its tests break:\n{told.decode(errors='replace')[:LONGEST_TOLD]}"


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--tests",
    "tests",
    multiple=True,
    type=click.Path(dir_okay=False),
    help="Expectations that FILE must hold at the start, and before each reload.",
)
def serve(file: str, tests: tuple[str, ...]) -> None:
    """Serve under FILE. SIGHUP reads it again, in full or not at all; SIGTERM answers all that is open and
    exits with 0."""
    setup = load_or_exit(file)
    log_to_stderr()

    async def approve(path: str) -> str:
        return await held_to(path, tests)

    async def whole() -> None:
        wrong = await approve(file) if tests else ""
        if wrong:
            raise ConfigError(file, [Problem("", wrong)])
        await process.serve(setup, approve=approve if tests else None)

    try:
        with asyncio.Runner(loop_factory=StallDetectingLoop) as runner:
            runner.run(whole())
    except (ConfigError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
