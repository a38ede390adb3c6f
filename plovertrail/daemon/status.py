"""What operators are told of a pool and of a limit."""

from __future__ import annotations

from typing import Any

from plovertrail.daemon.running_pool import RunningPool
from plovertrail.decisions.rate_limits import RateLimiter
from plovertrail.decisions.startup_admission import StartupAdmission
from plovertrail.dispatch.server_pool import RequestQueue


def pool_status(running: RunningPool) -> dict[str, Any]:
    """One pool: its lists, its part of the servers, its tenants and its servers."""
    state = running.registry.state
    used = {number: server.in_flight for number, server in running.pool.balancer.endpoints.items()}
    return {
        "generation": state.generation,
        "drained_by_hand": sorted(state.by_hand),
        "held_back": sorted(state.held),
        "problems": [*running.registry.loud(), *filter(None, [running.overdrawn])],
        "share": {
            "connections": running.budget.connections,
            "connections_each": running.budget.connections_per_endpoint,
            "dial_gap_us": running.budget.connect_interval_us,
            "servers": len(running.pool.serving),
        },
        "admission": admission_status(running.pool.admission),
        "fair": queue_status(running.pool.queue),
        "sources": {
            layer.source: {"servers": len(layer.entries), "version": layer.version} for layer in state.layers
        },
        "leaving": [member.entry.id for member, _ in state.leaving.values()],
        "servers": [
            {
                "id": ident,
                "address": "{}:{}".format(*member.entry.address),
                "state": "draining" if member.entry.drain else "ready",
                "zone": member.entry.zone,
                "weight": member.entry.weight,
                "open": used.get(member.number, 0),
            }
            for ident, member in state.members.items()
        ],
    }


def admission_status(admission: StartupAdmission | None) -> dict[str, Any]:
    """How much is let in at once after a start or a gap; nothing where all may come in."""
    if admission is None or admission.over:
        return {}
    return {"window": int(admission.window), "servers": admission.servers, "refused": admission.refused}


def queue_status(queue: RequestQueue | None) -> dict[str, Any]:
    """What a pool's tenants have had; nothing where it has no queue."""
    if queue is None:
        return {}
    return {
        name or "(others)": {
            "weight": each.weight,
            "admitted": each.admitted,
            "refused": each.rejected,
            "waiting": each.waiting,
            "at_work": each.in_flight,
            "work_s": round(each.total_work_us / 1e6, 3),
            "work_ms": round(each.mean_work_us / 1e3, 2),
            "wait_ms": round(each.mean_wait_us / 1e3, 2),
        }
        for name, each in queue.fair_queue.tenants.items()
    }


def limiter_status(limiter: RateLimiter) -> dict[str, int]:
    """What a limit has done since it was made, and its keys."""
    return {
        "let_in": limiter.admitted,
        "over_rate": limiter.rejected_by_rate,
        "over_concurrent": limiter.rejected_by_concurrency,
        "keys": len(limiter.keys),
        "without_place": limiter.counted_as_shared,
    }
