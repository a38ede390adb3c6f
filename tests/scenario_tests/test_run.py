"""Files of expectations: what holds, what breaks and how it is told, what can't fail."""

from __future__ import annotations

import json
import xml.etree.ElementTree as ElementTree
from pathlib import Path

import pytest
from click.testing import CliRunner

from plovertrail.cli import main
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from plovertrail.scenario_tests.run import Report, run
from plovertrail.scenario_tests.schema import load_expectations

ROOT = Path(__file__).resolve().parents[2]
SITE = """
[listeners.web]
address = "127.0.0.1:8080"
[classes.read]
effect = "safe"
aim = "400ms"
deadline = "2s"
[classes.buy]
effect = "unsafe"
aim = "400ms"
deadline = "2s"
[classes.mark]
effect = "keyed"
key_header = "Idempotency-Key"
memory = "8s"
group = "cell"
aim = "400ms"
deadline = "2s"
[pools.main]
warm_up = "4s"
servers = [
    { id = "a", address = "127.0.0.1:9001", cell = "1" },
    { id = "b", address = "127.0.0.1:9002", cell = "1" },
    { id = "c", address = "127.0.0.1:9003", cell = "2" },
]
[pools.spare]
servers = [{ id = "z", address = "127.0.0.1:9009" }]
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["main", "spare"]
[[routes]]
name = "mark"
path = "/mark"
class = "mark"
pools = ["main"]
[[routes]]
name = "rest"
class = "read"
pools = ["main"]
"""
LOAD = (
    'loads = [{ name = "all", ask = "%s http://h%s", headers = { Idempotency-Key = "k" }, rate = %d, '
    'until = "2s" }]\n'
)


def scenario(*lines: str, method: str = "POST", path: str = "/buy", rate: int = 50, seeds: int = 2) -> str:
    return "\n".join(
        ["[[scenarios]]", 'name = "it"', f"seeds = {seeds}", LOAD % (method, path, rate), *lines, ""]
    )


def held(folder: Path, text: str, site: str = SITE) -> Report:
    file, expect = folder / "site.toml", folder / "it.expect.toml"
    file.write_text(site)
    expect.write_text(text)
    setup = load(str(file))
    return run(setup, [load_expectations(str(expect), setup)])


def told(folder: Path, text: str, site: str = SITE) -> str:
    """All that broke."""
    return "\n".join(line for result in held(folder, text, site).failed for line in result.failures)


def test_the_example_beside_the_example_holds_and_touches_all() -> None:
    setup = load(str(ROOT / "deploy/plovertrail.toml"))
    report = run(setup, [load_expectations(str(ROOT / "deploy/plovertrail.expect.toml"), setup)])
    assert not report.failed
    assert not report.untouched
    assert len(report.results) >= 12


REQUESTS: dict[str, tuple[str, str]] = {
    "route": ('ask = "POST http://h/buy"\nroute = "rest"', "route is 'buy', not 'rest'"),
    "class": ('ask = "POST http://h/buy"\nclass = "read"', "class is 'buy', not 'read'"),
    "pools": ('ask = "POST http://h/buy"\npools = ["main"]', "pools is ['main', 'spare'], not ['main']"),
    "target": ('ask = "POST http://h/buy?x=1"\ntarget = "/buy"', "target is '/buy?x=1', not '/buy'"),
    "a method": ('ask = "POST http://h/"\nroute = "rest"', "route is '', not 'rest'; route none"),
    "status": ('ask = "POST http://h/"\nstatus = 404', "status is 405, not 404"),
    "sends": (
        'ask = "POST http://h/buy"\nsends = { Host = "x" }',
        "sends is {'Host': 'h'}, not {'Host': 'x'}",
    ),
    "a bad path": ('ask = "POST http://h/%2Fx"\nroute = "rest"', "route is '', not 'rest'"),
}


@pytest.mark.parametrize("name", REQUESTS)
def test_what_a_request_is_to_the_routes(name: str, tmp_path: Path) -> None:
    text, why = REQUESTS[name]
    assert why in told(tmp_path, f"[[requests]]\n{text}\n")


BROKEN: dict[str, tuple[str, str]] = {
    "never_to": ('expect = [{ never_to = ["main/a"] }]', "sent to main/a"),
    "only_to": (
        'expect = [{ only_to = ["main/a", "main/b"] }]',
        "sent to main/c, which only_to doesn't name",
    ),
    "status": ("expect = [{ status = [404] }]", "answered 200, not 404"),
    "within": ('expect = [{ within = "10ms" }]', "answered after 20.0"),
    "attempts": ("expect = [{ attempts = [2, 3] }]", "1 attempts, not 2 to 3"),
    "served": ("expect = [{ served = [0, 10] }]", "% served, not 0 to 10"),
    "refused": ("expect = [{ refused = [90, 100] }]", "% refused, not 90 to 100"),
    "share": ('expect = [{ share = { "main/a" = [90, 100] } }]', "% of the attempts, not 90 to 100"),
    "no Retry-After": (
        'events = [{ at = "0s", server = "main/a", move = "drain" }, '
        '{ at = "0s", server = "main/b", move = "gone" }, { at = "0s", server = "main/c", move = "gone" }, '
        '{ at = "0s", server = "spare/z", move = "gone" }]\n'
        "expect = [{ retry_after = true, status = [200] }]",
        "answered 503, not 200",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_what_a_scenario_expects_may_break_and_is_told_with_a_trace(name: str, tmp_path: Path) -> None:
    text, why = BROKEN[name]
    found = told(tmp_path, scenario(text))
    assert why in found
    assert "scenarios[0]" in found
    assert "(seed 0, " in found
    if name != "share":
        assert "shrunk to" in found
        assert "request  POST http://h/buy (route buy, class buy)" in found
        assert " ms  " in found


VACUOUS = {
    "nobody comes": 'expect = [{ since = "9s", never_to = ["main/a"] }]',
    "no attempt is a second one": 'expect = [{ same = "cell" }]',
    "another route": 'expect = [{ route = "mark", status = [200] }]',
    "nothing is refused": 'expect = [{ since = "1s", retry_after = true }]',
}


@pytest.mark.parametrize("name", VACUOUS)
def test_what_could_not_have_failed_is_told(name: str, tmp_path: Path) -> None:
    assert "vacuous" in told(tmp_path, scenario(VACUOUS[name]))


WRONG: dict[str, tuple[str, str]] = {
    "nothing": ("", "nothing is expected"),
    "no TOML": ("[[requests", "it can't be read"),
    "a request of which nothing is expected": ('[[requests]]\nask = "GET http://h/"', "so it can't fail"),
    "no request": ('[[requests]]\nask = "GET /"\nroute = "rest"', "is no request"),
    "no route of the name": ('[[requests]]\nask = "GET http://h/"\nroute = "rset"', 'did you mean "rest"'),
    "an answer here and a class": (
        '[[requests]]\nask = "GET http://h/"\nclass = "read"\nstatus = 404',
        "contradict it",
    ),
    "no server of the name": (
        scenario('expect = [{ never_to = ["main/x"] }]'),
        'no server is called "main/x"',
    ),
    "all servers": (
        scenario('expect = [{ only_to = ["main/a", "main/b", "main/c", "spare/z"] }]'),
        "can't fail",
    ),
    "all there is": (scenario("expect = [{ served = [0, 100] }]"), "can't fail"),
    "no span": (scenario("expect = [{ served = [50, 10] }]"), "is no span"),
    "both": (scenario('expect = [{ only_to = ["main/a"], never_to = ["main/a"] }]'), "contradict each other"),
    "an expectation of nothing": (scenario('expect = [{ of = "all" }]'), "so it can't fail"),
    "no load of the name": (scenario('expect = [{ of = "al", status = [200] }]'), 'did you mean "all"'),
    "no behaviour": (scenario('events = [{ at = "0s", server = "main/a", does = "dance" }]'), "no behaviour"),
    "two events in one": (
        scenario('events = [{ at = "0s", server = "main/a", does = "ok", move = "drain" }]'),
        "one of does, move, lists, heard and reload",
    ),
    "slow, not how slow": (
        scenario('events = [{ at = "0s", server = "main/a", does = "slow" }]'),
        "how slow",
    ),
    "no load": ('[[scenarios]]\nname = "x"\nloads = []', "nothing is asked"),
    "rate and count": (
        '[[scenarios]]\nname = "x"\nloads = [{ ask = "GET http://h/", rate = 1, count = 1 }]',
        "either rate and until, or count",
    ),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_file_that_can_t_be_used_is_told_with_its_place(name: str, tmp_path: Path) -> None:
    text, why = WRONG[name]
    with pytest.raises(ConfigError) as caught:
        held(tmp_path, text)
    assert why in str(caught.value)


def test_a_drain_holds_from_its_microsecond_on(tmp_path: Path) -> None:
    """Requests of the drain's own microsecond may come before or after it; none of the next."""
    text = scenario(
        'events = [{ at = "1s", server = "main/a", move = "drain" }]',
        'expect = [{ since = "1000001us", never_to = ["main/a"] }]',
        seeds=20,
    )
    burst = (
        '[[scenarios]]\nname = "burst"\nseeds = 20\n'
        'loads = [{ ask = "POST http://h/buy", at = "1s", count = 40 }]\n'
        'events = [{ at = "1s", server = "main/a", move = "drain" }]\n'
        'expect = [{ since = "1000001us", until = "3s", only_to = ["main/b", "main/c", "spare/z"] }]\n'
    )
    report = held(tmp_path, text + burst)
    assert not report.results[0].failures
    # all attempts of the burst are of that one microsecond, or wait for a slot and go elsewhere
    assert not report.results[1].failures


def test_a_reload_in_mid_request_keeps_each_request_s_class(tmp_path: Path) -> None:
    """A purchase that is open when its route becomes a safe one is still sent once."""
    (tmp_path / "other.toml").write_text(
        SITE.replace(
            'name = "buy"\npath = "/buy"\nclass = "buy"',
            'name = "buy"\npath = "/buy"\nclass = "read"\nmethods = ["POST"]',
        )
    )
    text = scenario(
        'events = [{ at = "0s", server = "main/a", does = "reset-late", after = "300ms" },',
        '{ at = "0s", server = "main/b", does = "reset-late", after = "300ms" },',
        '{ at = "0s", server = "main/c", does = "reset-late", after = "300ms" },',
        '{ at = "1s", reload = "other.toml" }]',
        'expect = [{ until = "999999us", class = "buy", attempts = [0, 1] },',
        '{ since = "1000001us", class = "read", attempts = [1, 9] }]',
        rate=20,
        seeds=4,
    )
    found = held(tmp_path, text)
    assert not found.failed, found.failed[0].failures


@pytest.mark.parametrize("does", ["ok", "error", "full", "refuse", "reset-early", "reset-late", "silent"])
@pytest.mark.parametrize("path", ["/buy", "/mark", "/x"])
def test_the_rules_hold_whatever_servers_do(does: str, path: str, tmp_path: Path) -> None:
    events = ", ".join(
        f'{{ at = "0s", server = "main/{name}", does = "{does}", after = "30ms" }}' for name in "abc"
    )
    text = scenario(
        f'events = [{events}, {{ at = "700ms", server = "main/b", move = "drain" }},',
        '{ at = "900ms", server = "main/c", move = "gone" },',
        '{ at = "1s", server = "main/c", move = "join" }]',
        method="GET" if path == "/x" else "POST",
        path=path,
        rate=40,
    )
    assert not told(tmp_path, text)


def test_ten_thousand_expectations_are_each_held(tmp_path: Path) -> None:
    """One of them is wrong. How long they take is benchmarks/planted_faults.py's to say."""
    rows = "".join(
        f'[[requests]]\nask = "POST http://h/buy/{number}"\nroute = "{"rest" if number == 7777 else "buy"}"\n'
        for number in range(10_000)
    )
    report = held(tmp_path, rows)
    assert len(report.results) == 10_000
    assert [result.place for result in report.failed] == ["requests[7777]"]


def test_the_command_tells_in_all_its_forms(tmp_path: Path) -> None:
    site, expect, junit = tmp_path / "site.toml", tmp_path / "site.expect.toml", tmp_path / "out.xml"
    site.write_text(SITE)
    expect.write_text('[[requests]]\nask = "POST http://h/buy"\nroute = "buy"\n')
    call = CliRunner().invoke
    good = call(main, ["test", str(site)])
    assert good.exit_code == 0
    assert "1 hold, 0 broken" in good.stdout
    assert "untouched: route mark" in good.stdout
    expect.write_text('[[requests]]\nask = "POST http://h/buy"\nroute = "rest"\n')
    bad = call(main, ["test", str(site), "--json", "--junit", str(junit)])
    said = json.loads(bad.stdout)
    assert bad.exit_code == 1
    assert said["failed"] == 1
    assert "route is 'buy'" in said["failures"][0]["told"][0]
    suite = ElementTree.parse(junit).getroot()
    assert suite.get("failures") == "1"
    assert "route is 'buy'" in (suite[0][0].get("message") or "")
    assert call(main, ["test", str(site), "--expect", str(tmp_path / "none")]).exit_code == 2


def test_a_first_set_of_expectations_holds_as_it_is_written(tmp_path: Path) -> None:
    for file in (ROOT / "deploy/plovertrail.toml", tmp_path / "site.toml"):
        if file.name == "site.toml":
            file.write_text(SITE)
        made = CliRunner().invoke(main, ["test", str(file), "--init"])
        setup = load(str(file))
        expect = tmp_path / "first.toml"
        expect.write_text(made.stdout)
        report = run(setup, [load_expectations(str(expect), setup)])
        assert made.exit_code == 0
        assert len(report.results) >= 3
        assert not report.failed


GUARDED = (
    SITE.replace(
        "[pools.main]",
        """[limiters.each]
by = "client"
rate_per_s = 5
[pools.main]
fair = { max_wait = "100ms" }""",
    ).replace('pools = ["main", "spare"]', 'pools = ["main", "spare"]\nlimiters = ["each"]')
    + """
[[routes]]
name = "beta"
headers = { X-Beta = "1" }
class = "read"
pools = ["main"]
"""
)


def test_what_nothing_touched_is_named(tmp_path: Path) -> None:
    """Routes, pools and classes; predicates that no request failed; limits and doors that let all pass."""
    one = '[[requests]]\nask = "POST http://h/buy"\nroute = "buy"\n'
    left = held(tmp_path, one, GUARDED).untouched
    assert "route mark" in left
    assert "class mark" in left
    assert "limiter each: it let all pass" in left
    assert "door of pool main: it let all pass" in left
    assert "route beta" in left
    failed = "the header predicates of route beta: no request failed them"
    assert failed in left
    assert (
        failed
        not in held(
            tmp_path, one + '[[requests]]\nask = "GET http://h/x"\nroute = "rest"\n', GUARDED
        ).untouched
    )
    more = one + '[[requests]]\nask = "GET http://h/x"\nheaders = { X-Beta = "1" }\nroute = "beta"\n'
    crowd = scenario("expect = [{ refused = [1, 99] }]", rate=200)
    left = held(tmp_path, more + crowd, GUARDED).untouched
    assert "limiter each: it let all pass" not in left
    assert "route beta" not in left


def test_attempts_in_any_so_long_may_be_bounded(tmp_path: Path) -> None:
    assert "attempts in 100 ms, not 1 at most" in told(
        tmp_path, scenario('expect = [{ at_most = { "main/a" = [1, "100ms"] } }]', rate=100)
    )
    assert not told(tmp_path, scenario('expect = [{ at_most = { "main/a" = [200, "100ms"] } }]', rate=100))


def test_of_two_expressions_that_both_match_the_first_in_the_file_is_expected(tmp_path: Path) -> None:
    routes = "".join(
        f"""[[routes]]
name = "{name}"
path_regex = '{regex}'
class = "read"
pools = ["main"]
"""
        for name, regex in (("one", "/t/.*x.*"), ("two", "/t/.*y.*"))
    )
    text = '[[requests]]\nask = "GET http://h/t/xy"\nroute = "{}"\n'
    assert not told(tmp_path, text.format("one"), SITE + routes)
    assert "route is 'one', not 'two'" in told(tmp_path, text.format("two"), SITE + routes)


PEERS = """
[peers]
name = "a"
address = "127.0.0.1:7400"
addresses = ["127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403"]
key_files = ["{key}"]
{alone}
[tenants.acme]
allowance_per_s = 10
[limiters.orders]
by = "tenant"
rate_per_s = 40
burst = 8
scope = "fleet"
"""


def shared_site(folder: Path, alone: str = "") -> str:
    (folder / "key").write_text("0123456789abcdef")
    limited = 'path = "/buy"\nlimiters = ["orders"]\ntenant = "header:X-Tenant"\n'
    site = SITE.replace('path = "/buy"\n', limited)
    return PEERS.format(key=folder / "key", alone=alone) + site


@pytest.mark.parametrize(
    ("peers", "alone", "served"),
    [
        # three others that are asked for 120 a second beside the 25 here: of 40 there are 7 for this one
        ('[{ limiter = "orders", tenant = "acme", rate = 120, instances = 3 }]', "", "[22, 40]"),
        # they are heard, and have no use for the limit: all of it is here
        ("[{ instances = 3 }]", "", "[85, 100]"),
        # they fall silent: this one keeps to its part by number, or takes all of it
        ('[{ instances = 3, until = "1s" }]', "", "[30, 60]"),
        ('[{ instances = 3, until = "1s" }]', 'alone = "local"', "[85, 100]"),
        ("[]", "", "[30, 60]"),
    ],
)
def test_a_limit_for_the_fleet_is_played_with_other_instances(
    tmp_path: Path, peers: str, alone: str, served: str
) -> None:
    text = f"""
[[scenarios]]
name = "orders"
peers = {peers}
expect = [{{ of = "here", since = "4s", served = {served} }}]
[[scenarios.loads]]
name = "here"
ask = "POST http://h/buy"
headers = {{ X-Tenant = "acme" }}
rate = 25
until = "12s"
"""
    assert told(tmp_path, text, shared_site(tmp_path, alone)) == ""
    wrong = text.replace(served, "[0, 10]" if served != "[0, 10]" else "[90, 100]")
    assert "% served" in told(tmp_path, wrong, shared_site(tmp_path, alone))


def test_what_is_wrong_with_other_instances_is_told(tmp_path: Path) -> None:
    def wrong(peers: str, site: str) -> str:
        text = scenario(f"peers = [{peers}]", 'expect = [{ of = "all", status = [200] }]')
        with pytest.raises(ConfigError) as caught:
            held(tmp_path, text, site)
        return str(caught.value)

    site = shared_site(tmp_path)
    assert "instances don't count together in this file; write [peers] there" in wrong("{ }", SITE)
    assert 'no limiter for the fleet is called "order"; did you mean "orders"?' in wrong(
        '{ limiter = "order" }', site
    )
    assert 'no tenant is called "acm"' in wrong('{ tenant = "acm" }', site)
    assert "a rate of nothing" in wrong("{ rate = 5 }", site)
    assert "they are heard for no time" in wrong('{ at = "2s", until = "1s" }', site)


def test_what_other_instances_tell_of_a_server_is_played(tmp_path: Path) -> None:
    def text(heard: str, expect: str, more: str = "") -> str:
        return f"""
[[scenarios]]
name = "hearsay"
events = [{{ at = "500ms", server = "main/c", heard = "{heard}"{more} }}]
expect = [{{ of = "all", since = "1s", until = "8s", share = {{ "main/c" = {expect} }} }}]
[[scenarios.loads]]
name = "all"
ask = "POST http://h/buy"
rate = 60
until = "8s"
"""

    site = shared_site(tmp_path).replace("scope", 'retry_after = "1s"\nscope') + "[fellows]\n"
    site = site.replace("rate_per_s = 40", "rate_per_s = 4000").replace("burst = 8", "burst = 4000")
    assert told(tmp_path, text("wrong", "[0, 20]"), site) == ""
    assert "main/c" in told(tmp_path, text("well", "[0, 20]"), site)  # a third of all
    assert "main/c" in told(tmp_path, text("wrong", "[0, 20]", ", tellers = 1"), site)
    with pytest.raises(ConfigError, match="write .fellows."):
        held(tmp_path, text("wrong", "[0, 20]"), shared_site(tmp_path))


def test_guards_of_lists_are_played(tmp_path: Path) -> None:
    """Of three servers a list may drop one by the guards as written here; an empty one is refused."""
    guards = 'warm_up = "4s"\nguards = { judged_from = 2, most_dropped = 0.4 }\n'
    guarded = SITE.replace('warm_up = "4s"\n', guards)

    def events(*rows: str) -> str:
        return "events = [" + ", ".join(f'{{ pool = "main", {row} }}' for row in rows) + "]"

    goes_on = 'expect = [{ of = "all", since = "500ms", share = { "main/a" = [10, 90] } }]'
    stays = scenario(events('at = "200ms", lists = []', 'at = "300ms", lists = ["c"]'), goes_on)
    assert told(tmp_path, stays, guarded) == ""
    gone = 'expect = [{ of = "all", since = "500ms", never_to = ["main/a"] }]'
    assert "main/a" in told(tmp_path, stays.replace(goes_on, gone), guarded)
    dropped = scenario(events('at = "200ms", lists = ["b", "c"], version = 5'), gone)
    assert told(tmp_path, dropped, guarded) == ""
    older = scenario(
        events(
            'at = "200ms", lists = ["a", "b", "c"], version = 5',
            'at = "300ms", lists = ["b", "c"], version = 4',
        ),
        goes_on,
    )
    assert told(tmp_path, older, guarded) == ""
    shown = told(tmp_path, stays.replace(goes_on, gone), guarded)
    assert "main lists no server: refused, the list is empty" in shown
    with pytest.raises(ConfigError, match='no server is called "main/zz"'):
        held(tmp_path, scenario(events('at = "1s", lists = ["zz"]'), gone))
