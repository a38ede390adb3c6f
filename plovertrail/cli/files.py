"""Reads the operator's file for a command."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

from plovertrail.config import operator
from plovertrail.config.problems import ConfigError
from plovertrail.config.setup import Setup

UNUSABLE_FILE = 2  # exit status


def load_or_exit(path: str) -> Setup:
    """Load the configuration from a file; prints all that is wrong with it and exits with 2."""
    try:
        return operator.load(path)
    except ConfigError as error:
        exit_with(error)


def exit_with(error: ConfigError) -> NoReturn:
    """Print all that is wrong with a file and exit with 2."""
    click.echo(str(error), err=True)
    sys.exit(UNUSABLE_FILE)
