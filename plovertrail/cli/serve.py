"""`plovertrail serve`: start a daemon under an operator's file."""

from __future__ import annotations

import asyncio
import sys

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.daemon import process
from plovertrail.logs import log_to_stderr
from plovertrail.stall_detector import StallDetectingLoop

TEST_TIMEOUT_S = 300.0
MAX_REPORT_CHARACTERS = 4000  # of the expectations that a file breaks


async def broken_expectations(file: str, expectations: tuple[str, ...]) -> str:
    """Which expectations a file breaks, as `plovertrail test` reports it; empty if none.

    The test runs in another process: it takes the CPU for seconds, and open requests must not wait for it.
    """
    options = [option for path in expectations for option in ("--expect", path)]
    test = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plovertrail.cli",
        "test",
        file,
        *options,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            report, _ = await test.communicate()
    except TimeoutError:
        test.kill()
        await test.wait()
        return f"its tests took longer than {TEST_TIMEOUT_S:g} s"
    if test.returncode == 0:
        return ""
    return f"its tests break:\n{report.decode(errors='replace')[:MAX_REPORT_CHARACTERS]}"


async def serve_tested(setup: Setup, file: str, expectations: tuple[str, ...]) -> None:
    """Serve under a file that must hold its expectations now and on each reload; raises ConfigError."""
    if not expectations:
        await process.serve(setup)
        return

    async def approve(path: str) -> str:
        return await broken_expectations(path, expectations)

    wrong = await approve(file)
    if wrong:
        raise ConfigError(file, [Problem("", wrong)])
    await process.serve(setup, approve=approve)


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
    """Serve under FILE until SIGTERM.

    SIGHUP reads FILE again, in full or not at all; SIGTERM answers all that is open and exits with 0.
    """
    setup = load_or_exit(file)
    log_to_stderr()
    try:
        with asyncio.Runner(loop_factory=StallDetectingLoop) as runner:
            runner.run(serve_tested(setup, file, tests))
    except (ConfigError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
