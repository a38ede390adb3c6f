"""Other customers' settings: the deployments in `deploy/sites/`, under every kind of fault."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path
from typing import Any

import pytest

from plovertrail.decisions.events import EndpointStatus, ListKind
from plovertrail.decisions.settings import RequestClass, Settings
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints
from tests.decisions.load_balancing.test_contract_rules import FAULTS, play

FOLDER = Path(__file__).parents[3] / "deploy" / "sites"
EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
SITES = sorted(FOLDER.glob("*.toml"))


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


def settings_of(site: dict[str, Any]) -> Settings:
    """The settings of an instance of that deployment, as far as load balancing needs them."""
    classes = [
        RequestClass(
            kind["name"],
            1000 * kind["aim_ms"],
            1000 * kind["deadline_ms"],
            kind["worth"],
            kind["late_worth"],
            effect=EFFECTS[kind["effect"]],
            dedup_scope=kind.get("group", "all"),
            dedup_window_us=1000 * kind.get("window_ms", 0),
        )
        for kind in site["class"]
    ]
    allow, rules = site["allow"], site["rules"]
    return Settings(
        classes=classes,
        instances=8,
        max_attempts=allow["max_attempts"],
        retry_after=allow["retry_after"],
        cancel=allow["cancel"],
        health_checks=allow["probes"],
        hedging=allow["second_copies"],
        max_retry_after_us=1000 * site["clients"]["max_retry_after_ms"],
        connect_timeout_us=1000 * site["tier"][0]["conn"]["connect_timeout_ms"],
        endpoints_on_request=site["discovery"]["mode"] == "ask",
        max_poll_interval_us=10_000_000,
        drain_grace_us=1000 * rules["drain_grace_ms"],
        overload_factor=rules["fall_multiple"],
        overload_duration_us=1000 * rules["fall_ms"],
        warm_up_initial_capacity=0.3,
        warm_up_us=8_000_000,
        cross_zone_fee=site["prices"]["cross_zone"],
        weighted=site["tier"][0]["weights"] != "none",
    )


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
@pytest.mark.parametrize("seed", range(4))
def test_no_rule_is_broken_under_other_customers_settings(path: Path, seed: int) -> None:
    dice = random.Random(seed)
    config = settings_of(read(path))
    harness = BalancerHarness(config, seed)
    harness.update_endpoints(ready_endpoints(6), ListKind.CACHED)
    for _ in range(1500):
        what = dice.choices(
            ["arrive", "end", "advance", "list", "restart", "quit", "fail"], [50, 40, 10, 1, 1, 1, 1]
        )[0]
        number, extra = dice.randrange(50), None
        step: tuple[str, int, object] = (what, number, extra)
        if what == "arrive":
            number = dice.randrange(len(config.classes))
            step = (what, number, dice.randrange(1_000, config.classes[number].deadline_us + 1))
        elif what == "end":
            step = (what, number, dice.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1, 1])[0])
        elif what == "advance":
            step = (what, dice.randrange(60_000), None)
        elif what == "list":
            step = (what, dice.randrange(8), dice.choice(list(EndpointStatus)))
        elif what == "restart":
            step = (what, dice.randrange(8), dice.randrange(30_000_000))
        play(harness, step)
    harness.advance(2 * max(kind.deadline_us for kind in config.classes))  # all is answered by its due time


def test_the_sites_differ_in_what_could_be_taken_for_granted() -> None:
    """Each of these is true of at least one of them."""
    sites = [read(path) for path in SITES]
    classes = [kind for site in sites for kind in site["class"]]
    deadlines = {kind["deadline_ms"] for kind in classes}
    assert {150, 6000} <= deadlines
    assert any(kind.get("window_ms", kind["deadline_ms"]) < kind["deadline_ms"] for kind in classes)
    assert any(all(kind["effect"] == "unsafe" for kind in site["class"]) for site in sites)
    assert {len(site["net"]["zones"]) for site in sites} == {1, 3}
    assert any(not any(site["prices"].values()) for site in sites)
    assert {site["discovery"]["mode"] for site in sites} == {"ask", "push"}
