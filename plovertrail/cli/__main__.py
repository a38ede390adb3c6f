"""The command line as a module: `python -m plovertrail.cli`."""

from plovertrail.cli import main

main(prog_name="plovertrail")
