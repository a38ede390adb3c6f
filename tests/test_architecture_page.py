"""The page for on-call engineers names modules and classes that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
SOURCES = sorted(path for folder in ("plovertrail", "simulator") for path in (ROOT / folder).rglob("*.py"))
PATHS = sorted(set(re.findall(r"`((?:[\w.]+/)*[\w]+(?:/|\.py|\.toml))`", PAGE)))
CLASSES = sorted(set(re.findall(r"`([A-Z][a-z]\w*)(?:\.\w+)?`", PAGE)))
METHODS = sorted(set(re.findall(r"`([A-Z][a-z]\w*\.[a-z_]\w*)`", PAGE)))
LINKS = sorted(set(re.findall(r"\]\(([^)]+)\)", PAGE)))


@pytest.fixture(scope="module")
def defined() -> dict[str, set[str]]:
    """The classes of the sources with their methods; of an enum its members as well."""
    found: dict[str, set[str]] = {}
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = found.setdefault(node.name, set())
                names |= {
                    each.name
                    for each in node.body
                    if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef)
                }
    return found


@pytest.mark.parametrize("name", PATHS)
def test_each_path_exists(name: str) -> None:
    folders = (ROOT, ROOT / "plovertrail", ROOT / "plovertrail/decisions/load_balancing")
    assert any((folder / name).exists() for folder in folders)


@pytest.mark.parametrize("name", CLASSES)
def test_each_class_exists(name: str, defined: dict[str, set[str]]) -> None:
    assert name in defined


@pytest.mark.parametrize("name", METHODS)
def test_each_method_exists(name: str, defined: dict[str, set[str]]) -> None:
    owner, method = name.split(".")
    assert method in defined[owner]


@pytest.mark.parametrize("link", LINKS)
def test_each_linked_page_exists(link: str) -> None:
    assert (ROOT / "docs" / link).is_file()


def test_the_page_names_each_package() -> None:
    packages = {path.parent.name for path in (ROOT / "plovertrail").glob("*/__init__.py")}
    assert [name for name in sorted(packages) if f"plovertrail/{name}/" not in PAGE] == []
