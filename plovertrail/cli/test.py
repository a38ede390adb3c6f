"""`plovertrail test FILE`: expectations beside the configuration, held to it with no traffic."""

from __future__ import annotations

import json
import sys
import time
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from typing import TYPE_CHECKING

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.config import operator
from plovertrail.config.problems import ConfigError
from plovertrail.config.setup import Setup

if TYPE_CHECKING:
    from plovertrail.scenario_tests.run import Report


@click.command("test")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--expect", "paths", multiple=True, help="A file of expectations; else FILE's, .expect.toml.")
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")
@click.option("--junit", type=click.Path(dir_okay=False), help="Write the result as JUnit's XML as well.")
@click.option("--watch", is_flag=True, help="Again whenever one of the files changes, till interrupted.")
@click.option("--init", is_flag=True, help="Print a first set of expectations: what FILE does now.")
def test(
    file: str, paths: tuple[str, ...], as_json: bool, junit: str | None, watch: bool, init: bool
) -> None:
    """Hold FILE to expectations, with no traffic and no sockets. Exits with 1 if one breaks, with 2 if a file
    can't be used."""
    if init:
        from plovertrail.scenario_tests.first import first_expectations

        click.echo(first_expectations(load_or_exit(file)), nl=False)
        return
    paths = paths or (str(Path(file).with_suffix(".expect.toml")),)
    status = once(file, paths, as_json, junit)
    if watch:
        from watchfiles import watch as changes

        # hazard: editors put another file in a file's place, so folders are watched
        wanted = {str(Path(path).resolve()) for path in (file, *paths)}
        for changed in changes(*{str(Path(path).parent) for path in wanted}, raise_interrupt=False):
            if wanted & {str(Path(path).resolve()) for _, path in changed}:
                status = once(file, paths, as_json, junit)
    sys.exit(status)


def once(file: str, paths: tuple[str, ...], as_json: bool, junit: str | None) -> int:
    """One run; its exit status."""
    from plovertrail.scenario_tests.run import run
    from plovertrail.scenario_tests.schema import load_expectations

    began = time.perf_counter()
    try:
        setup = operator.load(file)
        report = run(setup, [load_expectations(path, setup) for path in paths])
    except ConfigError as error:
        click.echo(str(error), err=True)
        return 2
    seconds = time.perf_counter() - began
    if junit is not None:
        Path(junit).write_text(as_junit(report))
    if as_json:
        failures = [{"name": each.name, "place": each.place, "told": each.failures} for each in report.failed]
        click.echo(
            json.dumps(
                {
                    "passed": len(report.results) - len(report.failed),
                    "failed": len(report.failed),
                    "seconds": round(seconds, 3),
                    "untouched": report.untouched,
                    "failures": failures,
                }
            )
        )
    else:
        tell(setup, report, seconds)
    sys.stdout.flush()
    return 1 if report.failed else 0


def tell(setup: Setup, report: Report, seconds: float) -> None:
    """For people."""
    for result in report.failed:
        click.echo(f"BROKEN {result.place} {result.name}")
        for text in result.failures:
            click.echo("  " + text.replace("\n", "\n  "))
    for text in report.untouched:
        click.echo(f"untouched: {text}")
    click.echo(
        f"{setup.path}: {len(report.results) - len(report.failed)} hold, {len(report.failed)} broken, "
        f"{len(report.untouched)} untouched, {seconds:.2f} s"
    )


def as_junit(report: Report) -> str:
    """The report as a JUnit XML test suite, one test case for each result."""
    suite = ElementTree.Element(
        "testsuite", name="plovertrail", tests=str(len(report.results)), failures=str(len(report.failed))
    )
    for result in report.results:
        case = ElementTree.SubElement(suite, "testcase", classname=result.place, name=result.name)
        for text in result.failures:
            ElementTree.SubElement(case, "failure", message=text.split("\n")[0]).text = text
    return ElementTree.tostring(suite, encoding="unicode") + "\n"
