"""Reads the operator's file for a command."""

from __future__ import annotations

import sys

import click

from plovertrail.config import operator
from plovertrail.config.problems import ConfigError
from plovertrail.config.setup import Setup


def load_or_exit(path: str) -> Setup:
    """The file's setup; prints all that is wrong with it and exits with 2."""
    try:
        return operator.load(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
