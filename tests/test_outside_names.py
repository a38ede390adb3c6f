"""Names that leave the process still stand in the sources, so that no renaming inside loses one unseen."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SOURCES = sorted(path for folder in ("plovertrail", "simulator") for path in (ROOT / folder).rglob("*.py"))
LINES = (ROOT / "tests" / "data" / "outside_names.txt").read_text().splitlines()
NAMES = [line for line in LINES if not line.startswith("#")]
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def _docstring(node: ast.AST) -> ast.Constant | None:
    """The docstring's literal of a module, class or function."""
    if isinstance(node, DOCUMENTED) and node.body:
        first = node.body[0]
        if isinstance(first, ast.Expr) and isinstance(first.value, ast.Constant):
            return first.value
    return None


def _is_command(function: ast.FunctionDef) -> bool:
    """Whether a function's name is that of a command line's command."""
    decorators = [ast.unparse(each) for each in function.decorator_list]
    return any(re.search(r"\.(command|group)\(", each) for each in decorators)


def _outer_names(tree: ast.Module) -> Iterator[str]:
    """Literals outside docstrings, fields and members of classes, and commands' functions."""
    docstrings = {id(_docstring(node)) for node in ast.walk(tree)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        elif isinstance(node, ast.ClassDef):
            for each in node.body:
                targets = each.targets if isinstance(each, ast.Assign) else []
                targets = [each.target] if isinstance(each, ast.AnnAssign) else targets
                yield from (target.id for target in targets if isinstance(target, ast.Name))
        elif isinstance(node, ast.FunctionDef) and _is_command(node):
            yield node.name


@pytest.fixture(scope="module")
def outer_names() -> set[str]:
    """All outer names of the sources: each text as a whole, and its words."""
    found: set[str] = set()
    for path in SOURCES:
        for text in _outer_names(ast.parse(path.read_text())):
            found.add(text)
            found.update(re.findall(r"[\w.:/-]+", text))
            found.update(re.findall(r"[.-]\w+$", text))
    return found


def test_the_list_is_sorted_and_names_nothing_twice() -> None:
    assert sorted(set(NAMES)) == NAMES


def test_each_name_that_leaves_the_process_stands_in_the_sources(outer_names: set[str]) -> None:
    assert [name for name in NAMES if name not in outer_names] == []
