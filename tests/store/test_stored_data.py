"""State files of an earlier version are read completely, with the meaning they had in that version.

`data/README.md` says how the files and the recorded results were made.
"""

from __future__ import annotations

import json
import random
import shutil
from dataclasses import astuple
from pathlib import Path
from typing import Any

import pytest

from plovertrail.decisions.counter_rows import CountingWindow, key_of
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.decisions.events import Endpoint, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.rate_limits import (
    Allowance,
    KeyedBy,
    LimitExceeded,
    RateLimiter,
    RateLimiterSettings,
    admit,
)
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.decisions.warm_state import (
    PoolHistory,
    collect_histories,
    restore_endpoint,
    restore_mean_latencies,
)
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.endpoint_list_records import changed_records
from plovertrail.store.records import StoredState
from plovertrail.store.snapshot_format import LoadResult
from plovertrail.store.state_files import StateFiles
from plovertrail.store.warm_state_records import warm_state_records

DATA = Path(__file__).parent / "data"
RECORDED_CASES: dict[str, dict[str, Any]] = json.loads((DATA / "answers.json").read_text())
WITH_HISTORIES = [name for name, recorded in RECORDED_CASES.items() if "in_use" in recorded]
S = 1_000_000
TENANTS = ("ann", "bob", "carol", "dora")
WINDOW = CountingWindow(60 * S, 6)
LIMITERS = (
    RateLimiterSettings(
        "by-client", KeyedBy.CLIENT, Allowance(rate_per_s=0.1, burst=3), max_retry_after_us=60 * S
    ),
    RateLimiterSettings(
        "each",
        KeyedBy.TENANT,
        Allowance(rate_per_s=0.5, burst=8),
        unlisted_have_keys=True,
        max_retry_after_us=60 * S,
    ),
)


def load_case(folder: Path, recorded: dict[str, Any]) -> LoadResult:
    """Load a copy of the files with the clock readings of a recorded case."""
    shutil.copy(DATA / recorded["file"], folder / "state")
    if recorded["journal"]:
        shutil.copy(DATA / "state.journal", folder / "state.journal")
    clocks = ClockReading(recorded["now_us"], recorded["unix_us"], recorded["boot"])
    return StateFiles(str(folder / "state"), recorded["instance"]).load(clocks)


def as_json(value: object) -> Any:
    """Convert a value to JSON and back, so that tuples become lists."""
    return json.loads(json.dumps(value))


def list_state_as_dict(state: EndpointListState) -> dict[str, Any]:
    return {
        "generation": state.generation,
        "started": state.started,
        "drained_by_hand": sorted(state.drained_by_operator),
        "layers": [
            {
                "source": layer.source,
                "version": layer.version,
                "by_operator": layer.by_operator,
                "entries": [astuple(entry) for entry in layer.endpoints],
            }
            for layer in state.layers
        ],
        "members": [
            {"number": member.endpoint_id, "joined_us": member.started_us, "entry": astuple(member.listed)}
            for member in state.members.values()
        ],
        "leaving": [
            {"number": number, "since_us": since_us, "entry": astuple(member.listed)}
            for number, (member, since_us) in state.removed.items()
        ],
        "joins_held_until_us": dict(state.held_joins),
        "last_number": state.last_endpoint_id,
    }


def pool_history_as_dict(pool_history: PoolHistory) -> dict[str, Any]:
    return {
        "at_us": pool_history.recorded_at_us,
        "mean_latency_us": dict(pool_history.mean_latency_us),
        "endpoints": {" ".join(key): astuple(history) for key, history in pool_history.endpoints.items()},
    }


def stored_state_as_dict(stored: StoredState) -> dict[str, Any]:
    counters = stored.counters
    return {
        "lists": {name: list_state_as_dict(state) for name, state in stored.endpoint_lists.items()},
        "endpoint_histories": {
            name: pool_history_as_dict(pool_history) for name, pool_history in stored.pool_histories.items()
        },
        "limits": {
            name: {
                "salt": limit.salt.hex(),
                "free_us": {f"{key:x}": free_us for key, free_us in limit.theoretical_arrivals_us.items()},
            }
            for name, limit in stored.limiters.items()
        },
        "counters": None
        if counters is None
        else {
            "name": counters.name,
            "start_us": counters.start_us,
            "span_us": counters.span_us,
            "buckets": counters.buckets,
            "rows": {f"{key:x}": row for key, row in counters.rows.items()},
        },
    }


def balancer_with(pool_history: PoolHistory, now_us: int) -> tuple[LoadBalancer, dict[int, tuple[str, str]]]:
    """Return a load balancer whose endpoints start with their histories, and the key of each endpoint id."""
    classes = [
        RequestClass("read", 250_000, 2 * S),
        RequestClass("buy", 400_000, 5 * S, effect="at_most_once"),
    ]
    balancer = LoadBalancer(Settings(classes=classes, warm_up_us=0), 1, now_us)
    restore_mean_latencies(balancer, pool_history, now_us)
    endpoint_keys = dict(enumerate(sorted(pool_history.endpoints), 1))
    balancer.set_endpoint_restorer(
        lambda endpoint: restore_endpoint(
            balancer,
            endpoint,
            pool_history.endpoints[endpoint_keys[endpoint.listed.id]],
            now_us - pool_history.recorded_at_us,
        )
    )
    endpoints = [Endpoint(endpoint_id) for endpoint_id in endpoint_keys]
    balancer.handle(now_us, EndpointsUpdated(ListKind.CACHED, endpoints))
    return balancer, endpoint_keys


def admissions_by_tenant(limiter: RateLimiter, now_us: int) -> dict[str, Any]:
    """Count the admitted of ten requests of each tenant, with the first Retry-After of those rejected."""
    found = {}
    for tenant in TENANTS:
        results = [admit([limiter], tenant, f"10.9.0.{len(tenant)}", now_us) for _ in range(10)]
        rejected = [result.retry_after_us for result in results if isinstance(result, LimitExceeded)]
        found[tenant] = {"admitted": 10 - len(rejected), "retry_after_us": rejected[:1]}
    return found


@pytest.mark.parametrize("case", RECORDED_CASES)
def test_a_state_file_of_an_earlier_version_is_read_completely(tmp_path: Path, case: str) -> None:
    recorded = RECORDED_CASES[case]
    found = load_case(tmp_path, recorded)
    assert len(found.problems) == recorded["problems"] == (recorded["instance"] != "n1")
    assert (found.replayed_steps, found.snapshot_age_us) == (recorded["journal_frames"], recorded["age_us"])
    assert as_json(stored_state_as_dict(found.stored)) == recorded["kept"]
    assert not (tmp_path / "state.bad").exists()


@pytest.mark.parametrize("case", RECORDED_CASES)
def test_loaded_state_is_written_with_the_records_of_the_earlier_version(tmp_path: Path, case: str) -> None:
    recorded = RECORDED_CASES[case]
    stored = load_case(tmp_path, recorded).stored
    clock_offset_us = recorded["unix_us"] - recorded["now_us"]
    records = {
        name: changed_records(name, EndpointListState(), state, clock_offset_us)
        for name, state in stored.endpoint_lists.items()
    }
    records[""] = list(warm_state_records(stored, clock_offset_us).items())
    written = {name: [[*key, value] for key, value in part] for name, part in records.items()}
    assert as_json(written) == recorded["records"]


@pytest.mark.parametrize("case", WITH_HISTORIES)
def test_endpoints_start_with_the_histories_stored_by_an_earlier_version(tmp_path: Path, case: str) -> None:
    recorded = RECORDED_CASES[case]
    now_us, expected = recorded["now_us"], recorded["in_use"]
    stored = load_case(tmp_path, recorded).stored
    assert stored.pool_histories.keys() == expected["endpoint_histories"].keys()
    for pool, pool_history in stored.pool_histories.items():
        balancer, endpoint_keys = balancer_with(pool_history, now_us)
        histories = {
            " ".join(each): astuple(history)
            for each, history in collect_histories(balancer, endpoint_keys.items()).items()
        }
        assert as_json(histories) == expected["endpoint_histories"][pool]
        classes = [kind.name for kind in balancer.settings.classes]
        assert (
            dict(zip(classes, balancer.latencies.mean_us, strict=True)) == expected["mean_latency_us"][pool]
        )


@pytest.mark.parametrize("settings", LIMITERS, ids=lambda settings: settings.name)
@pytest.mark.parametrize("case", WITH_HISTORIES)
def test_rate_limiters_continue_from_the_levels_stored_by_an_earlier_version(
    tmp_path: Path, case: str, settings: RateLimiterSettings
) -> None:
    recorded = RECORDED_CASES[case]
    limiter = RateLimiter(settings, random.Random(3).random)
    limiter.restore(load_case(tmp_path, recorded).stored.limiters[settings.name], recorded["now_us"])
    assert admissions_by_tenant(limiter, recorded["now_us"]) == recorded["in_use"]["admitted"][settings.name]


@pytest.mark.parametrize("case", WITH_HISTORIES)
def test_counters_continue_from_the_counts_stored_by_an_earlier_version(tmp_path: Path, case: str) -> None:
    recorded = RECORDED_CASES[case]
    now_us, stored = recorded["now_us"], load_case(tmp_path, recorded).stored.counters
    assert stored is not None
    counters = SharedCounters("n1", 3, WINDOW, now_us)
    assert counters.restore(stored, now_us) == recorded["in_use"]["counters_taken"]
    counted = {
        tenant: [counters.own_count(key_of("tenant", tenant), now_us + n * 10 * S) for n in range(7)]
        for tenant in TENANTS
    }
    assert counted == recorded["in_use"]["counted"]


def test_the_recorded_results_contain_every_kind_of_state() -> None:
    stored = RECORDED_CASES["the machine was started again"]["kept"]
    main = stored["lists"]["main"]
    for part in ("drained_by_hand", "leaving", "joins_held_until_us"):
        assert main[part]
    assert [bool(layer["entries"]) for layer in main["layers"]] == [True, True]
    assert all(pool_history["endpoints"] for pool_history in stored["endpoint_histories"].values())
    assert [bool(limit["free_us"]) for limit in stored["limits"].values()] == [True, True]
    assert stored["counters"]["rows"]
    assert "old" not in stored["lists"]
    assert "late" in stored["lists"]
