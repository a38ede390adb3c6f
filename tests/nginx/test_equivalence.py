"""What the import decides is what nginx would, or the report says so: the corpus and generated ones."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from benchmarks.nginx_corpus import corpus, filled
from benchmarks.nginx_requests import decided, difference, requests
from fakes.nginx_reference import Reference
from plovertrail.config.operator import parse
from plovertrail.nginx.importer import Importer, NothingToServeError
from plovertrail.nginx.tree import read_tree
from tests.nginx.generated import configurations

CORPUS = corpus()


def unreported(path: Path, count: int, seed: int) -> list[str]:
    """Differences that the report doesn't tell of."""
    imported = Importer(read_tree(str(path))).run()
    setup = parse(imported.text)
    reference = Reference(str(path))
    ports = {listener.address[1] for listener in setup.listeners}
    found = []
    for asked in requests(reference, count, random.Random(seed)):
        if asked.port in ports:
            what, told = difference(
                reference, imported.report, asked, reference.follow(asked), decided(setup, asked)
            )
            if what and not told:
                found.append(f"{asked}: {what}")
    return found


@pytest.mark.parametrize("name", CORPUS)
def test_the_corpus_is_moved_without_an_unreported_difference(name: str, tmp_path: Path) -> None:
    path = tmp_path / f"{name}.conf"
    servers = {number: f"127.0.0.1:900{number}" for number in range(1, 7)}
    path.write_text(filled(CORPUS[name], {1: 8001, 2: 8002}, servers))
    assert not unreported(path, 200, 7)


def test_the_corpus_is_large() -> None:
    assert len(CORPUS) >= 40


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(text=configurations, seed=st.integers(0, 2**16))
def test_generated_configurations_are_moved_so_too(text: str, seed: int, tmp_path: Path) -> None:
    path = tmp_path / "made.conf"
    path.write_text(text)
    try:
        assert not unreported(path, 40, seed)
    except NothingToServeError:
        assert "listen 127.0.0.1:800" not in text
