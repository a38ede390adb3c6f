"""A configuration that can't be applied changes nothing and leaves no socket bound."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import WebServer
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from tests.daemons import message, run, running


def free_address() -> tuple[str, int]:
    return "127.0.0.1", free_port()


def listener_text(name: str, address: tuple[str, int]) -> str:
    return f'[listeners.{name}]\naddress = "{address[0]}:{address[1]}"\n'


def test_a_failed_prepare_closes_the_sockets_it_has_bound(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.create_server(free_address()) as taken:
            async with running(tmp_path, {"main": [WebServer()]}) as it:
                free = free_address()
                text = it.path.read_text() + listener_text("free", free)
                it.path.write_text(text + listener_text("taken", taken.getsockname()))
                before = it.daemon.generation
                with pytest.raises(ConfigError, match=r"listeners\.taken\.address"):
                    it.daemon.applier.prepare(load(str(it.path)), {}, {})
                socket.create_server(free).close()  # it can be bound, so nothing listens there
                assert it.daemon.generation is before
                assert set(it.daemon.services.listeners.active) == {"web"}
                assert (await it.ask(message("GET /"))).status == 200

    run(test)


def test_a_prepared_configuration_is_not_in_force_until_it_is_applied(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}) as it:
            added = free_address()
            it.path.write_text(it.path.read_text() + listener_text("added", added))
            prepared = it.daemon.applier.prepare(load(str(it.path)), {}, {})
            assert it.daemon.generation.number == 1
            assert set(it.daemon.services.listeners.active) == {"web"}
            it.daemon.applier.put_into_force(prepared)
            assert it.daemon.generation.number == 2
            assert it.daemon.addresses()["added"] == added

    run(test)
