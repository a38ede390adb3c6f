"""The settings of the deployments in `deploy/sites/`, under all kinds of faults."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path
from typing import Any

import pytest

from plovertrail.decisions.events import EndpointStatus, ListKind
from plovertrail.decisions.settings import RequestClass, Settings
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints
from tests.decisions.load_balancing.test_contract_rules import FAULTS, apply_step

FOLDER = Path(__file__).parents[3] / "deploy" / "sites"
EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
SITES = sorted(FOLDER.glob("*.toml"))


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


def settings_of(site: dict[str, Any]) -> Settings:
    """Return the load balancing settings of an instance of a deployment."""
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
    allowed, rules = site["allow"], site["rules"]
    return Settings(
        classes=classes,
        instances=8,
        max_attempts=allowed["max_attempts"],
        retry_after=allowed["retry_after"],
        cancel=allowed["cancel"],
        health_checks=allowed["probes"],
        hedging=allowed["second_copies"],
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
def test_no_rule_is_broken_under_the_settings_of_any_site(path: Path, seed: int) -> None:
    rng = random.Random(seed)
    config = settings_of(read(path))
    harness = BalancerHarness(config, seed)
    harness.update_endpoints(ready_endpoints(6), ListKind.CACHED)
    for _ in range(1500):
        kind = rng.choices(
            ["arrive", "end", "advance", "list", "restart", "cancel", "fail"], [50, 40, 10, 1, 1, 1, 1]
        )[0]
        number, argument = rng.randrange(50), None
        step: tuple[str, int, object] = (kind, number, argument)
        if kind == "arrive":
            number = rng.randrange(len(config.classes))
            step = (kind, number, rng.randrange(1_000, config.classes[number].deadline_us + 1))
        elif kind == "end":
            step = (kind, number, rng.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1, 1])[0])
        elif kind == "advance":
            step = (kind, rng.randrange(60_000), None)
        elif kind == "list":
            step = (kind, rng.randrange(8), rng.choice(list(EndpointStatus)))
        elif kind == "restart":
            step = (kind, rng.randrange(8), rng.randrange(30_000_000))
        apply_step(harness, step)
    harness.advance(2 * max(each.deadline_us for each in config.classes))  # all must have answers by then


def test_the_sites_differ_in_deadlines_effects_zones_costs_and_discovery() -> None:
    """Between them, the sites cover each of these properties."""
    sites = [read(path) for path in SITES]
    classes = [kind for site in sites for kind in site["class"]]
    deadlines = {kind["deadline_ms"] for kind in classes}
    assert {150, 6000} <= deadlines
    assert any(kind.get("window_ms", kind["deadline_ms"]) < kind["deadline_ms"] for kind in classes)
    assert any(all(kind["effect"] == "unsafe" for kind in site["class"]) for site in sites)
    assert {len(site["net"]["zones"]) for site in sites} == {1, 3}
    assert any(not any(site["prices"].values()) for site in sites)
    assert {site["discovery"]["mode"] for site in sites} == {"ask", "push"}
