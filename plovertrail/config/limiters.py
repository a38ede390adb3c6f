"""The operator's file, `[limiters.NAME]`: what one tenant or client may ask for at most."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, Literal

import msgspec

from plovertrail.config.problems import Problem, did_you_mean
from plovertrail.config.tables import duration_us, key_path, read_table
from plovertrail.decisions.rate_limits import Allowance, KeyedBy, RateLimiterSettings

MOST_LIMITERS = 32
MOST_A_ROUTE = 8
BY_TENANT = (KeyedBy.TENANT, KeyedBy.TENANT_AND_CLIENT)

Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class AllowanceTable(msgspec.Struct, kw_only=True):
    """What a tenant may use: requests a second, a burst of them, and requests at once; 0 is no limit."""

    rate_per_s: Rate = 0.0
    burst: Count = 0
    concurrent: Count = 0


class LimiterTable(msgspec.Struct, kw_only=True):
    """A table [limiters.NAME] as the operator writes it."""

    by: Literal["client", "tenant", "tenant+client", "all"]
    rate_per_s: Rate = 0.0
    burst: Count = 0
    concurrent: Count = 0
    tenants: dict[str, Any] = {}
    unlisted: Literal["together", "each"] = "together"
    max_keys: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 4096
    retry_after: str = "10s"
    tell: bool = True
    scope: Literal["instance", "fleet"] = "instance"


def read_limiters(
    raw: Mapping[str, object], tenants: Iterable[str], talks: bool, problems: list[Problem]
) -> dict[str, RateLimiterSettings]:
    """All limiters of a file; `tenants` are those that it lists, `talks` whether instances count together."""
    listed = frozenset(tenants)
    if len(raw) > MOST_LIMITERS:
        problems.append(
            Problem("limiters", f"{len(raw)} limiters; at most {MOST_LIMITERS} are taken", "remove some")
        )
    return {
        name: found
        for name, item in raw.items()
        if (found := _limiter(name, item, listed, talks, problems)) is not None
    }


def _limiter(
    name: str, raw: object, listed: frozenset[str], talks: bool, problems: list[Problem]
) -> RateLimiterSettings | None:
    place = key_path("limiters", name)
    known = len(problems)
    table = read_table(LimiterTable, raw, place, problems)
    if table is None:
        return None
    keyed_by = KeyedBy(table.by)
    if table.tenants and keyed_by not in BY_TENANT:
        problems.append(
            Problem(
                f"{place}.tenants",
                f'it counts by "{table.by}", which knows no tenants',
                'write by = "tenant" or "tenant+client"',
            )
        )
    if table.unlisted == "each" and keyed_by not in BY_TENANT:
        problems.append(
            Problem(
                f"{place}.unlisted",
                f'it counts by "{table.by}", which knows no tenants',
                'leave it out, or write by = "tenant" or "tenant+client"',
            )
        )
    if table.scope == "fleet" and not talks:
        problems.append(
            Problem(
                f"{place}.scope",
                "instances don't count together here",
                'write [peers], or scope = "instance"',
            )
        )
    if table.scope == "fleet" and not table.rate_per_s:
        problems.append(
            Problem(
                f"{place}.scope",
                "only a rate can be for the fleet",
                'write rate_per_s, or scope = "instance" for concurrent',
            )
        )
    own = []
    for tenant, item in table.tenants.items():
        at = key_path(f"{place}.tenants", tenant)
        if tenant not in listed:
            problems.append(Problem(at, f'no tenant is called "{tenant}"', did_you_mean(tenant, listed)))
        changes = read_table(AllowanceTable, item, at, problems)
        if changes is not None:
            own.append((tenant, _allowance(changes, at, problems)))
    allowance = _allowance(table, place, problems)
    retry_us = duration_us(table.retry_after, f"{place}.retry_after", problems)
    if len(problems) > known:
        return None
    return RateLimiterSettings(
        name,
        keyed_by,
        allowance,
        tuple(own),
        listed,
        table.unlisted == "each",
        table.max_keys,
        retry_us,
        table.tell,
        table.scope == "fleet",
    )


def _allowance(table: AllowanceTable | LimiterTable, place: str, problems: list[Problem]) -> Allowance:
    """Without a burst, what comes in a second may come at once."""
    if not table.rate_per_s and not table.concurrent:
        problems.append(Problem(place, "it limits nothing", "write rate_per_s or concurrent, above 0"))
    if table.burst and not table.rate_per_s:
        problems.append(Problem(f"{place}.burst", "a burst of no rate", "write rate_per_s as well"))
    return Allowance(table.rate_per_s, table.burst or max(1, math.ceil(table.rate_per_s)), table.concurrent)
