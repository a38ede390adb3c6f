"""The files that may still miss docstrings or names of the convention: a list that only shrinks."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
# pairs of a file and a rule that it breaks; lower it with each entry that goes, and never raise it
MOST_EXCEPTIONS = 0
DOCSTRING_RULES = ("D100", "D101", "D102", "D103", "D104", "D106")
TESTS_PATTERN = "tests/**"
RULES_NOT_ASKED_OF_TESTS = frozenset({"D101", "D102", "D103"})

FileRule = tuple[str, str]  # a path from the root, and the code of a rule


@pytest.fixture(scope="module")
def ruff_settings() -> dict[str, Any]:
    settings: dict[str, Any] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    return settings


@pytest.fixture(scope="module")
def listed(ruff_settings: dict[str, Any]) -> list[FileRule]:
    exceptions: dict[str, list[str]] = ruff_settings["lint"]["per-file-ignores"]
    return [(path, rule) for path, rules in exceptions.items() if path != TESTS_PATTERN for rule in rules]


def asked_of(path: str, rule: str) -> bool:
    """Whether a file has to keep a rule: test files need no docstrings but their module's."""
    return not (path.startswith("tests/") and rule in RULES_NOT_ASKED_OF_TESTS)


def broken_rules(ruff_settings: dict[str, Any]) -> set[FileRule]:
    """What ruff finds in the whole tree when no exceptions are made."""
    command = [
        sys.executable,
        "-m",
        "ruff",
        "check",
        "--isolated",
        "--no-cache",
        "--exit-zero",
        "--ignore-noqa",
    ]
    command += ["--output-format", "json", "--select", ",".join((*DOCSTRING_RULES, "N"))]
    for pattern in ruff_settings["exclude"]:
        command += ["--exclude", pattern]
    found = subprocess.run([*command, "."], cwd=ROOT, check=True, capture_output=True, text=True)
    pairs = {
        (Path(each["filename"]).relative_to(ROOT).as_posix(), str(each["code"]))
        for each in json.loads(found.stdout)
    }
    return {(path, rule) for path, rule in pairs if asked_of(path, rule)}


def test_the_rules_are_on(ruff_settings: dict[str, Any]) -> None:
    lint = ruff_settings["lint"]
    assert {*DOCSTRING_RULES, "N"} <= set(lint["select"])
    assert not lint.get("ignore")
    assert not lint.get("extend-per-file-ignores")
    assert set(lint["per-file-ignores"][TESTS_PATTERN]) == RULES_NOT_ASKED_OF_TESTS


def test_every_exception_names_a_file_and_is_listed_once(listed: list[FileRule]) -> None:
    assert [path for path, _ in listed if not (ROOT / path).is_file()] == []
    assert len(listed) == len(set(listed))


def test_the_exceptions_are_just_the_rules_that_the_files_break(
    listed: list[FileRule], ruff_settings: dict[str, Any]
) -> None:
    broken = broken_rules(ruff_settings)
    assert sorted(set(listed) - broken) == [], "kept by now: take them off the list in pyproject.toml"
    assert sorted(broken - set(listed)) == [], "broken and not on the list: mend them"


def test_the_list_only_shrinks(listed: list[FileRule]) -> None:
    assert len(listed) <= MOST_EXCEPTIONS, "a file gained an exception: mend it in place of listing it"
