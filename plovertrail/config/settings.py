"""The platform's settings as paths and values, read with checks into the module's."""

from __future__ import annotations

import math

from plovertrail.decisions.settings import DEDUP_SCOPES, EFFECTS, RequestClass, Settings, Tenant

# Load report values: the wire's names and ours; a name not known here is kept as it is.
_REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}


class SettingsError(Exception):
    """A setting that cannot be read; says which in one line."""


class _Options:
    """The start-up settings' path=value pairs, read with checks."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"setting {path}: expected a number, got {value!r}")
        return number

    def whole(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            raise SettingsError(f"setting {path}: expected a whole number, got {self.text(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(path, default)
        if value not in choices:
            raise SettingsError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def _class(options: _Options, at: str) -> RequestClass:
    effect = options.choice(at + "effect", EFFECTS)
    repeats_need_it = effect == "deduplicated"  # a default might repeat a request where it runs again
    return RequestClass(
        name=options.text(at + "name"),
        latency_objective_us=options.whole(at + "aim"),
        deadline_us=options.whole(at + "deadline"),
        priority_weight=options.number(at + "worth"),
        late_weight=options.number(at + "late-worth", "0"),
        objective_stretch=options.number(at + "aim-stretch", "0"),
        effect=effect,
        dedup_scope=options.choice(at + "group", DEDUP_SCOPES, None if repeats_need_it else "all"),
        dedup_window_us=options.whole(at + "memory-span", None if repeats_need_it else "0"),
        stream=options.flag(at + "stream", "false"),
    )


def _tenant(options: _Options, at: str) -> Tenant:
    return Tenant(
        options.text(at + "name"), options.number(at + "allowance-per-s"), options.number(at + "share", "0")
    )


def settings_from_pairs(pairs: dict[str, str]) -> Settings:
    """The settings from their paths and values; keys that are not known are skipped."""
    o = _Options(pairs)
    try:
        return Settings(
            classes=[_class(o, f"request-classes.{i}.") for i in range(o.whole("request-classes.count"))],
            tenants=[_tenant(o, f"accounts.{i}.") for i in range(o.whole("accounts.count", "0"))],
            over_share_weight=o.number("over-share-worth", "1"),
            weight_by_work=o.choice("value-by", ("request", "work"), "request") == "work",
            instances=o.whole("instances"),
            self_index=o.whole("self-index", "0"),
            zone=o.whole("locality", "0"),
            tick_us=o.whole("granularity"),
            max_attempts=o.whole("bounds.most-tries"),
            max_retry_after_us=o.whole("bounds.max-retry-after", "0"),
            connect_timeout_us=o.whole("bounds.dial-timeout", "0"),
            retry_after=o.flag("bounds.retry-after"),
            cancel=o.flag("bounds.cancel"),
            health_checks=o.flag("bounds.probes"),
            hedging=o.flag("bounds.second-copies"),
            endpoints_on_request=o.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            max_poll_interval_us=o.whole("invariants.ask-within", "0"),
            drain_grace_us=o.whole("invariants.drain-grace", "0"),
            warm_up_initial_capacity=o.number("invariants.cold-share"),
            warm_up_us=o.whole("invariants.warm-up"),
            overload_factor=o.number("invariants.overload-factor"),
            overload_duration_us=o.whole("invariants.fall"),
            cross_zone_fee=o.number("fees.cross-zone", "0"),
            report_names=[
                _REPORT_NAMES.get(name, name) for name in o.text("report.names", "").split(",") if name
            ],
            weighted=o.text("weights", "none") != "none",
        )
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
