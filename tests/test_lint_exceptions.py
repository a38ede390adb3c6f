"""The files that may still break a lint rule: a list that only shrinks."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
# by rule, the files that may break it; lower a bound with each entry that goes, and never raise it
MAX_EXCEPTIONS = {
    "ARG001": 12,
    "ARG002": 19,
    "ARG005": 11,
    "ASYNC110": 13,
    "ASYNC220": 2,
    "ASYNC240": 3,
    "ASYNC251": 1,
    "C901": 20,
    "D205": 54,
    "D400": 6,
    "D415": 6,
    "ERA001": 1,
    "PIE810": 1,
    "PLR0912": 3,
    "PLR0913": 17,
    "PLR0915": 1,
    "PT011": 2,
    "PT012": 1,
    "PT017": 1,
    "PT018": 1,
}
DOCSTRING_RULES = ("D100", "D101", "D102", "D103", "D104", "D106", "D205", "D400", "D415")
COMPLEXITY_RULES = ("C901", "PLR0912", "PLR0913", "PLR0915")
RULE_FAMILIES = ("N", "PT", "RET", "ERA", "ARG", "ASYNC", "PIE")
RULES = (*DOCSTRING_RULES, *COMPLEXITY_RULES, *RULE_FAMILIES)
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
    command += ["--output-format", "json", "--select", ",".join(RULES)]
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
    assert set(RULES) <= set(lint["select"])
    assert not lint.get("ignore") and not lint.get("extend-per-file-ignores")
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
    counts = Counter(rule for _, rule in listed)
    grown = {rule: count for rule, count in counts.items() if count > MAX_EXCEPTIONS.get(rule, 0)}
    assert grown == {}, "a file gained an exception: mend it in place of listing it"


def test_the_bounds_are_no_higher_than_the_list(listed: list[FileRule]) -> None:
    assert Counter(rule for _, rule in listed) == MAX_EXCEPTIONS, "lower the bounds to what is left"
