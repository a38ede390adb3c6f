"""`plovertrail counts bound FILE`"""

from __future__ import annotations

import sys

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.decisions.counter_error_bound import error_bound, partition_undercount


@click.group()
def counts() -> None:
    """Usage counted over all instances."""


@counts.command("bound")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--size", default=0, help="Instances; 0: as many as the file tells.")
@click.option(
    "--rate", default=0.0, help="Requests a second of one key over the whole fleet, to tell counts."
)
@click.option(
    "--but-with",
    "probability",
    default=1e-3,
    show_default=True,
    type=click.FloatRange(1e-9, 0.5),
    help="The probability with which it may not hold.",
)
def bound_command(file: str, size: int, rate: float, probability: float) -> None:
    """Say how far a shared count may be from the truth under FILE's [peers], before anything is
    measured."""
    peers = load_or_exit(file).peers
    if peers is None:
        click.echo(f"{file}: it has no [peers]: each instance counts alone", err=True)
        sys.exit(1)
    talk = peers.talk(size or peers.size)
    found = error_bound(talk, probability)
    half = partition_undercount(talk.window_s, 0.5, talk)
    click.echo(
        f"{talk.size} instances; each hears of a key every {talk.round_s:g} s at most, "
        f"{talk.loss:.0%} lost, within {talk.delay_s:g} s; window {talk.window_s:g} s"
    )
    click.echo(f"at any one moment, but with a probability of {probability:g}:")
    for name, part in (
        ("too low by at most", found.under),
        ("too high by at most", found.over),
        ("in a partition into halves, after a window, lower by a further", half),
    ):
        more = f" = {part * rate * talk.window_s:.0f} requests" if rate else ""
        click.echo(f"  {name} {part:.1%} of the highest rate times the window{more}")
    click.echo(f"as none is older than {found.staleness_s:.2f} s")
