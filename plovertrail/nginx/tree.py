"""An nginx configuration as a tree of directives, with its includes read in; parsed by crossplane."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import crossplane

DEEPEST = 40  # blocks within blocks, and files within files
MOST_DIRECTIVES = 200_000  # with each file as often as it is included


class NginxConfigError(Exception):
    """A configuration that can't be read: what is wrong, with file and line."""


@dataclass(eq=False, slots=True)
class Directive:
    """One directive at the place where it counts: in a file that is included twice it is there twice, with
    the same number."""

    number: int  # of all directives as they are written
    name: str
    args: tuple[str, ...]
    file: str
    line: int
    block: list[Directive] | None = None
    wrong: str = ""  # of an include: why it brings nothing

    @property
    def place(self) -> str:
        """The file and line, as FILE:LINE."""
        return f"{self.file}:{self.line}"

    def inner(self) -> Iterator[Directive]:
        """All directives within this one's block, at any depth."""
        stack = list(self.block or [])
        while stack:
            directive = stack.pop()
            yield directive
            stack.extend(directive.block or [])

    def __str__(self) -> str:
        return " ".join((self.name, *self.args))


@dataclass(slots=True)
class Tree:
    """All directives as they are written, and the main file's with what it includes in their places."""

    written: list[Directive] = field(default_factory=list)
    main: list[Directive] = field(default_factory=list)

    def walk(self) -> Iterator[Directive]:
        """All that counts, blocks before what is in them."""
        stack = list(reversed(self.main))
        while stack:
            directive = stack.pop()
            yield directive
            stack.extend(reversed(directive.block or []))


class _Builder:
    def __init__(self, configs: list[dict[str, Any]], missing: dict[tuple[str, int], str], base: str) -> None:
        self.configs = configs
        self.missing = missing
        self.base = base
        self.numbers: dict[int, int] = {}  # by the identity of what crossplane made of a directive
        self.tree = Tree()
        self.count = 0

    def build(
        self, raws: list[dict[str, Any]], file: str, depth: int, files: tuple[int, ...]
    ) -> list[Directive]:
        if depth > DEEPEST:
            raise NginxConfigError(f"{file}: nested more than {DEEPEST} deep")
        found: list[Directive] = []
        for raw in raws:
            self.count += 1
            if self.count > MOST_DIRECTIVES:
                raise NginxConfigError(
                    f"{file}: more than {MOST_DIRECTIVES} directives with what is included"
                )
            number = self.numbers.setdefault(id(raw), len(self.numbers))
            new = number == len(self.tree.written)
            made = Directive(number, raw["directive"], tuple(raw["args"]), file, raw["line"])
            if new:
                self.tree.written.append(made)
            found.append(made)
            if "block" in raw:
                made.block = self.build(raw["block"], file, depth + 1, files)
            for index in raw.get("includes", ()):
                if index in files:
                    made.wrong = "it includes a file that it is in"
                else:
                    name = os.path.relpath(self.configs[index]["file"], self.base)
                    found += self.build(self.configs[index]["parsed"], name, depth + 1, (*files, index))
            if raw["directive"] == "include" and not raw.get("includes"):
                made.wrong = self.missing.get((file, raw["line"]), "")
        return found


def read_tree(path: str) -> Tree:
    """Read a configuration; raises NginxConfigError. Files are named as seen from the main one's folder."""
    try:
        payload = crossplane.parse(path, check_ctx=False, check_args=False)
    except (OSError, ValueError, RecursionError, StopIteration, RuntimeError) as error:
        raise NginxConfigError(f"{path}: it can't be read: {error or type(error).__name__}") from None
    base = os.path.dirname(os.path.abspath(path))
    missing: dict[tuple[str, int], str] = {}
    wrong = []
    for told in payload["errors"]:
        name = os.path.relpath(told["file"], base)
        if "No such file" in told["error"] and told["line"]:
            missing[name, told["line"]] = "the file is missing"
        else:
            wrong.append(f"{name}:{told['line'] or '?'}: {told['error']}")
    if wrong:
        raise NginxConfigError("\n".join(wrong))
    configs = payload["config"]
    builder = _Builder(configs, missing, base)
    builder.tree.main = builder.build(configs[0]["parsed"], os.path.basename(path), 0, (0,))
    return builder.tree
