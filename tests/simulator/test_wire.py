"""The bytes that the wire protocol documents, and the errors on malformed input."""

from __future__ import annotations

import io
import struct

import pytest

from plovertrail.decisions.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Subscribe,
)
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    HealthCheckEnded,
    ListKind,
    Outcome,
    PeerMessage,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from simulator import adapter, wire
from tests.simulator.options import OPTIONS

ENDPOINT_LIST = (
    "6e 00000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000"
    " f211902c 01 00 0000 01 0000c03f 20145d0000000000"
)
ENDPOINT_1, ENDPOINT_2, REQUEST_1, REQUEST_2 = 0x03124A07, 0x2C9011F2, 0x5D3A91C4, 0x0E6F2B19

EVENTS: list[tuple[str, wire.Record]] = [
    (
        ENDPOINT_LIST + "50 0300 02 29000000 00000000",
        EndpointsUpdated(
            ListKind.CACHED,
            [Endpoint(ENDPOINT_1), Endpoint(ENDPOINT_2, zone=1, weight=1.5, started_us=6100000)],
            41,
        ),
    ),
    (
        "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000",
        RequestArrived(REQUEST_1, 8652250, 0, 0, 0x91F03B7C55D20A64, 12000),
    ),
    ("28 0300", wire.InstanceStopped()),
    ("32 0300 4d000000", TimerFired(77)),
    ("3c 0300 192b6f0e", RequestCancelled(REQUEST_2)),
    (
        "0a 0300 c4913a5d 00 074a1203 0000 44480000 01 00",
        AttemptEnded(REQUEST_1, 0, ENDPOINT_1, Outcome.OK, 18500, True),
    ),
    ("1e 0300 0200 0400 68692037", PeerMessage(2, b"hi 7")),
    ("14 0300 c4913a5d 00 22240000 074a1203", StreamStarted(REQUEST_1, 0, ENDPOINT_1, 9250)),
    ("5a 0300 f211902c 0000 78050000 00", HealthCheckEnded(ENDPOINT_2, Outcome.OK, 1400)),
]

ACTIONS: list[tuple[str, wire.Reply]] = [
    ("14 0300 c4913a5d 074a1203 80380100", Send(REQUEST_1, ENDPOINT_1, 80000)),
    ("5a 0300 192b6f0e", Fail(REQUEST_2)),
    ("32 0300 ffffffff 0400 68692037", SendToPeer(b"hi 7")),
    ("46 0300 01", Subscribe()),
    ("6e 0300 f211902c", CloseIdle(ENDPOINT_2)),
    ("28 0300 192b6f0e 90d00300", Reject(REQUEST_2, 250000)),
    ("1e 0300 7afd870000000000 4d000000", SetTimer(8912250, 77)),
    ("50 0300 f211902c", HealthCheck(ENDPOINT_2)),
    ("78 0300 1100 74776f2073657276657273206b6e6f776e", Log("two servers known")),
    ("64 0300 c4913a5d 00", Cancel(REQUEST_1, 0)),
    ("3c 0300 1200 696e646578206f7574206f662072616e6765", wire.InternalError("index out of range")),
    ("0a 0300", PollEndpoints()),
]

EMPTY_BATCH = "00000000 00000000 5a5c800000000000"
THREE_EVENTS = (
    "2f000000 03000000 5a5c800000000000"
    "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000"
    "32 0300 4d000000 3c 0500 192b6f0e"
)


def instance_started(text: str = OPTIONS, instance: int = 3, seed: int = 9) -> bytes:
    raw = text.encode()
    return struct.pack("<BHQI", 100, instance, seed, len(raw)) + raw


def batch(records: list[bytes], now_us: int = 8_412_250) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), now_us) + body


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_documented_events_are_read(text: str, event: wire.Record) -> None:
    data = bytes.fromhex(text)
    count = 2 if text.startswith("6e") else 1
    assert list(wire.Decoder().decode(data, count)) == [(3, event)]


@pytest.mark.parametrize(("text", "action"), ACTIONS)
def test_documented_actions_are_written(text: str, action: wire.Reply) -> None:
    assert wire.encode(3, action) == bytes.fromhex(text)


def test_documented_frames_are_read_and_written() -> None:
    assert serve(bytes.fromhex(EMPTY_BATCH)) == bytes.fromhex("00000000 00000000")
    events = list(wire.Decoder().decode(bytes.fromhex(THREE_EVENTS)[16:], 3))
    assert [(i, type(e).__name__) for i, e in events] == [
        (3, "RequestArrived"),
        (3, "TimerFired"),
        (5, "RequestCancelled"),
    ]
    records = [
        wire.encode(3, ACTIONS[0][1]),
        wire.encode(3, ACTIONS[6][1]),
        bytes.fromhex("78 0500 1100 74776f2073657276657273206b6e6f776e"),
    ]
    assert wire.reply(records) == bytes.fromhex(
        "34000000 03000000 14 0300 c4913a5d 074a1203 80380100 1e 0300 7afd870000000000 4d000000"
        "78 0500 1100 74776f2073657276657273206b6e6f776e"
    )


def test_the_adapter_sends_an_arriving_request() -> None:
    start = [instance_started(), bytes.fromhex(ENDPOINT_LIST), bytes.fromhex("50 0300 02 29000000 00000000")]
    arrival = bytes.fromhex(EVENTS[1][0])
    output = serve(batch(start) + batch([arrival]))
    size, count = struct.unpack_from("<II", output)
    code, instance, request, endpoint_id = struct.unpack_from("<BHII", output, 8 + size + 8)
    assert (code, instance, request) == (20, 3, REQUEST_1)
    assert endpoint_id in (ENDPOINT_1, ENDPOINT_2)


def test_an_instance_restarted_within_a_batch_keeps_no_state() -> None:
    endpoints_updated = bytes.fromhex("50 0300 02 29000000 00000000")
    start = [instance_started(), bytes.fromhex(ENDPOINT_LIST), endpoints_updated]
    restart = [bytes.fromhex("28 0300"), instance_started(seed=10), endpoints_updated]
    late_outcome = bytes.fromhex(EVENTS[5][0])
    output = serve(
        batch(start) + batch([bytes.fromhex(EVENTS[1][0])]) + batch(restart) + batch([late_outcome])
    )
    # An empty reply: the new instance does not know the request of the late outcome.
    assert output.endswith(bytes(8))


def test_a_list_number_refers_to_the_list_sent_last_before_the_event() -> None:
    empty_list = bytes.fromhex("6e 00000000 00000000")
    endpoints_updated = bytes.fromhex("50 0300 01 29000000 00000000")
    data = bytes.fromhex(ENDPOINT_LIST) + endpoints_updated + empty_list + endpoints_updated
    first, second = wire.Decoder().decode(data, 4)
    assert isinstance(first[1], EndpointsUpdated)
    assert len(first[1].endpoints) == 2
    assert isinstance(second[1], EndpointsUpdated)
    assert second[1].endpoints == []


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (bytes(7), "batch 0: truncated header: 7 of 16 bytes"),
        (bytes.fromhex(EMPTY_BATCH) + bytes.fromhex(THREE_EVENTS)[:30], "batch 1: truncated body"),
        (batch([b"\x07\x03\x00"]), "record 0 at byte 0: unknown event code 7"),
        (batch([b"\x32\x03\x00\x01"]), "record 0 at byte 0: truncated"),
        (struct.pack("<IIQ", 3, 0, 5) + b"abc", "3 bytes left over"),
        (batch([bytes.fromhex("50 0300 02 29000000 05000000")]), "upstream list 5 was never sent"),
        (batch([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 6300 44480000 01 00")]), "unknown outcome 99"),
        (batch([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 0000 44480000 01 01 0000c07f")]), "finite"),
        (
            batch([bytes.fromhex("6e 00000000 01000000 074a1203 00 00 0000 09 0000803f 0000000000000000")]),
            "unknown upstream condition 9",
        ),
        (batch([instance_started("instances=3\nnonsense")]), "settings line 2: expected path=value"),
        (
            batch([instance_started(OPTIONS.replace("instances=3", "instances=many"))]),
            "setting instances: expected a number",
        ),
        (batch([instance_started(OPTIONS.replace("instances=3\n", ""))]), "setting instances is missing"),
        (
            batch([instance_started(OPTIONS.replace("most-tries=4", "most-tries=-4"))]),
            "max_attempts of 1 or more",
        ),
        (
            batch([instance_started(OPTIONS.replace("=at_most_once", "=sometimes"))]),
            "expected one of idempotent",
        ),
        (
            batch([instance_started(OPTIONS.replace("cancel=true", "cancel=yes"))]),
            "expected one of true, false",
        ),
    ],
)
def test_malformed_input_is_reported_in_one_line(data: bytes, expected: str) -> None:
    with pytest.raises(wire.WireError) as caught:
        serve(data)
    assert expected in str(caught.value)
    assert "\n" not in str(caught.value)


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    settings = wire.parse_settings(OPTIONS + "brand-new.key=1\nfees.fleet=0.2\n")
    assert settings == wire.parse_settings(OPTIONS)
    assert [c.effect for c in settings.classes] == ["idempotent", "at_most_once", "deduplicated"]
    assert settings.classes[2].dedup_window_us == 1_200_000
    assert settings.classes[2].dedup_scope == "cell"
    assert settings.tenants[1].allowance_per_s == 152.0
    assert settings.max_poll_interval_us == 10_000_000
    assert settings.endpoints_on_request
    assert settings.hedging
    assert not settings.health_checks


def test_report_names_are_translated_and_unknown_ones_kept() -> None:
    settings = wire.parse_settings(OPTIONS.replace("report.names=", "report.names=busy,q,moon"))
    assert settings.report_names == ["utilization", "queued", "moon"]


def test_an_exception_in_the_load_balancer_becomes_an_internal_error_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_error(*_: object) -> list[Action]:
        raise IndexError("index out of range")

    monkeypatch.setattr(LoadBalancer, "handle", raise_error)
    output = serve(batch([instance_started()]) + batch([bytes.fromhex("32 0300 4d000000")]))
    assert b"IndexError: index out of range" in output


def test_instances_behave_the_same_in_one_process_and_in_several() -> None:
    def run_instances(instances: list[int]) -> dict[int, list[bytes]]:
        host = adapter.InstanceHost()
        replies: dict[int, list[bytes]] = {i: [] for i in instances}
        start = [bytes.fromhex(ENDPOINT_LIST)]
        for i in instances:
            start += [instance_started(instance=i, seed=i), struct.pack("<BHBII", 80, i, 2, 1, 0)]
        host.handle_batch(1_000_000, len(start), b"".join(start))
        for n in range(50):
            for i in instances:
                record = struct.pack("<BHIBIQIBQ", 70, i, 100 * n + i, n % 3, 0, 0, 0, 0, 1_600_000 + n)
                replies[i].append(host.handle_batch(1_000_000 + n, 1, record))
        return replies

    together = run_instances([1, 2, 3])
    assert together == {**run_instances([1]), **run_instances([2]), **run_instances([3])}


def test_a_request_class_out_of_range_ends_the_adapter_with_an_error() -> None:
    arrival = struct.pack("<BHIBIQIBQ", 70, 3, 1, 9, 0, 0, 0, 0, 9_000_000)
    with pytest.raises(wire.WireError, match="batch 1: instance 3: request class 9 of 3"):
        serve(batch([instance_started()]) + batch([arrival]))
