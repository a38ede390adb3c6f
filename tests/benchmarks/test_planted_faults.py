"""The planted faults fit the sources as they stand, so that no move of a line can switch one off unseen."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.planted_fault_list import FAULTS, Fault, Replacement
from benchmarks.planted_faults import plant

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_each_replaced_text_stands_exactly_once_in_its_file(fault: Fault) -> None:
    for replacement in fault.replacements:
        assert (ROOT / replacement.file).read_text().count(replacement.old) == 1, replacement.old


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_each_fault_changes_what_it_replaces(fault: Fault) -> None:
    assert all(replacement.new != replacement.old for replacement in fault.replacements)


@pytest.mark.parametrize(
    "fault",
    [fault for fault in FAULTS if any(each.file.endswith(".py") for each in fault.replacements)],
    ids=lambda fault: fault.name,
)
def test_the_sources_with_a_fault_still_compile(tmp_path: Path, fault: Fault) -> None:
    files = {replacement.file for replacement in fault.replacements}
    for file in files:
        (tmp_path / file).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / file).write_text((ROOT / file).read_text())
    assert plant(tmp_path, fault)
    for file in files:
        compile((tmp_path / file).read_text(), file, "exec")


def test_there_are_as_many_faults_as_ever_each_under_a_name_of_its_own() -> None:
    assert len({fault.name for fault in FAULTS}) == len(FAULTS) == 45


@pytest.mark.parametrize("text", ["nothing of it", "old, and old again"])
def test_a_text_that_is_not_there_once_is_not_planted(tmp_path: Path, text: str) -> None:
    (tmp_path / "file").write_text(text)
    assert not plant(tmp_path, Fault("a fault", "file", "old", "new"))
    assert (tmp_path / "file").read_text() == text


def test_a_fault_is_planted_in_all_its_places(tmp_path: Path) -> None:
    (tmp_path / "one").write_text("a b")
    (tmp_path / "two").write_text("c d")
    assert plant(tmp_path, Fault("a fault", "one", "a", "x", also=(Replacement("two", "d", "y"),)))
    assert (tmp_path / "one").read_text() == "x b"
    assert (tmp_path / "two").read_text() == "c y"
