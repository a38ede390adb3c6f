"""A daemon's status, as the control socket reports it; operators' scripts rely on its keys."""

from __future__ import annotations

from typing import Any

from plovertrail.daemon.reload import Reloader
from plovertrail.daemon.running_pool import RunningPool
from plovertrail.daemon.wiring import Services
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.decisions.rate_limits import RateLimiter
from plovertrail.decisions.startup_admission import StartupAdmission
from plovertrail.dispatch.server_pool import RequestQueue


def daemon_status(services: Services, reloader: Reloader) -> dict[str, Any]:
    """Return the complete status of a daemon, as values that JSON can represent."""
    generation = services.current.generation
    limiters = services.limiters.active
    return {
        "recovery": services.recovery.status(),
        "fleet": services.pools.fleet_tracker.status(),
        "lists": services.lists.status(),
        "generation": generation.number,
        "file": generation.setup.path,
        "reload": {
            "on": "change" if generation.setup.watched else "signal",
            "problem": services.config_watcher.problem or reloader.problem,
        },
        "pools": {name: pool_status(pool) for name, pool in services.pools.running.items()},
        "connections": services.listeners.connection_count(),
        "requests": len(services.dispatcher.requests),
        "counters": dict(sorted(services.dispatcher.problems.counts.items())),
        "sockets": len(services.websockets.relays),
        "hooks": services.hooks.status(),
        "peers": services.peers.status(generation.setup, limiters),
        "fellows": services.peers.membership_status(),
        "judgements": services.health_reporter.status(),
        "limiters": {name: limiter_status(limiter) for name, limiter in limiters.items()},
        "state_file": services.store.status(),
        "kept": services.warm_state.status(),
        "background": services.background.status(),
    }


def pool_status(running: RunningPool) -> dict[str, Any]:
    """Return a pool's status: its lists, its share of the fleet's limits, its tenants and its endpoints."""
    state = running.registry.state
    return {
        "generation": state.generation,
        "drained_by_hand": sorted(state.drained_by_operator),
        "held_back": sorted(state.held_joins),
        "problems": [*running.registry.problems(), *filter(None, [running.oversubscribed])],
        "share": {
            "connections": running.limits.connections,
            "connections_each": running.limits.connections_per_endpoint,
            "dial_gap_us": running.limits.connect_interval_us,
            "servers": len(running.pool.serving),
        },
        "admission": admission_status(running.pool.admission),
        "fair": queue_status(running.pool.queue),
        "sources": {
            layer.source: {"servers": len(layer.endpoints), "version": layer.version}
            for layer in state.layers
        },
        "leaving": [member.listed.id for member, _ in state.removed.values()],
        "servers": endpoints_status(running, state),
        "counters": dict(sorted(running.connections.problems.counts.items())),
    }


def endpoints_status(running: RunningPool, state: EndpointListState) -> list[dict[str, Any]]:
    """Return the status of a pool's endpoints, in the order of its list."""
    in_flight = {number: endpoint.in_flight for number, endpoint in running.pool.balancer.endpoints.items()}
    return [
        {
            "id": endpoint_id,
            "address": "{}:{}".format(*member.listed.address),
            "state": "draining" if member.listed.drain else "ready",
            "zone": member.listed.zone,
            "weight": member.listed.weight,
            "open": in_flight.get(member.endpoint_id, 0),
        }
        for endpoint_id, member in state.members.items()
    ]


def admission_status(admission: StartupAdmission | None) -> dict[str, Any]:
    """Return the admission limit of a slow start; empty if there is none in progress."""
    if admission is None or admission.finished:
        return {}
    return {"window": int(admission.limit), "servers": admission.endpoints, "refused": admission.rejected}


def queue_status(queue: RequestQueue | None) -> dict[str, Any]:
    """Return the usage of a pool by each tenant; empty if requests aren't queued by tenant."""
    if queue is None:
        return {}
    return {
        name or "(others)": {
            "weight": tenant.weight,
            "admitted": tenant.admitted,
            "refused": tenant.rejected,
            "waiting": tenant.waiting,
            "at_work": tenant.in_flight,
            "work_s": round(tenant.total_work_us / 1e6, 3),
            "work_ms": round(tenant.mean_work_us / 1e3, 2),
            "wait_ms": round(tenant.mean_wait_us / 1e3, 2),
        }
        for name, tenant in queue.fair_queue.tenants.items()
    }


def limiter_status(limiter: RateLimiter) -> dict[str, int]:
    """Return how many requests a rate limiter has admitted and rejected, and how many keys it counts."""
    return {
        "let_in": limiter.admitted,
        "over_rate": limiter.rejected_by_rate,
        "over_concurrent": limiter.rejected_by_concurrency,
        "keys": len(limiter.keys),
        "without_place": limiter.counted_as_shared,
    }
