"""What moves from nginx: `python -m benchmarks.nginx_equivalence`.

Each configuration of the corpus is imported and served by `plovertrail serve` before stand-ins; each of its
requests goes over loopback to the daemon and through the reference, and what differs is looked up in the
report: the server, the URI, Host and the headers that are set, answers and where they lead. Then generated
configurations, decided with no sockets, and the time that an import of 5,000 lines takes. Bars: differences
that no report tells of 0, requests with no answer 0, 5,000 lines 2 s.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from benchmarks.nginx_corpus import corpus, filled
from benchmarks.nginx_requests import Got, decided, difference, requests
from benchmarks.processes import child, wait_for
from benchmarks.report import Bar, close, table
from fakes.nginx_reference import Asked, Reference
from fakes.ports import free_port
from fakes.web import OK, Arrival, Line, WebServer
from plovertrail.config.operator import parse
from plovertrail.nginx.importer import Importer
from plovertrail.nginx.report import Treatment
from plovertrail.nginx.tree import read_tree

SERVERS = 6
CLIENTS = 8
PATIENCE_S = 10.0
SEEN = "X-Asked"  # tells stand-ins' arrivals apart


class Site:
    """One configuration, imported and served."""

    def __init__(self, name: str, text: str, folder: Path) -> None:
        self.servers = [WebServer(self.script, keep=False) for _ in range(SERVERS)]
        self.name = name
        self.text = text
        self.folder = folder
        self.arrived: dict[bytes, tuple[WebServer, Arrival]] = {}
        self.found: Counter[str] = Counter()
        self.unreported: list[str] = []
        self.numbers = itertools.count()

    def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        """Note which server has got a request, by the request's number."""
        for number in arrival.all(SEEN):
            self.arrived[number] = server, arrival
        return OK

    async def ask(self, asked: Asked) -> Got | None:
        """One request over loopback, and what became of it; None if nothing came back."""
        number = str(next(self.numbers))
        target = asked.path + (f"?{asked.query}" if asked.query else "")
        lines = [
            f"{asked.method} {target} HTTP/1.1",
            f"Host: {asked.host}",
            f"{SEEN}: {number}",
            *(f"{name}: {value}" for name, value in asked.headers),
            "Connection: close",
        ]
        if asked.method in ("POST", "PUT"):
            lines.append("Content-Length: 0")
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", asked.port)
                writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
                answer = (await reader.read()).decode("latin-1")
                writer.close()
        except (OSError, TimeoutError):
            return None
        head, _, body = answer.partition("\r\n\r\n")
        if not head:
            return None
        reached = self.arrived.pop(number.encode(), None)
        if reached is not None:
            server, arrival = reached
            headers = {name.decode().lower(): value.decode("latin-1") for name, value in arrival.headers}
            return Got(address=server.address, uri=arrival.target.decode("latin-1"), headers=headers)
        lines = head.split("\r\n")
        where = next((line[10:] for line in lines if line.lower().startswith("location: ")), "")
        return Got(int(head.split(" ")[1]), where, body)

    async def play(self, count: int) -> None:
        """Send requests through a daemon under the imported file, and hold each to the reference."""
        for server in self.servers:
            await server.start()
        conf, site = self.folder / f"{self.name}.conf", self.folder / f"{self.name}.toml"
        conf.write_text(
            filled(
                self.text,
                {1: free_port(), 2: free_port()},
                {number: server.address for number, server in enumerate(self.servers, 1)},
            )
        )
        imported = Importer(read_tree(str(conf))).run()
        site.write_text(imported.text)
        setup = parse(imported.text)
        reference = Reference(str(conf))
        ports = [listener.address[1] for listener in setup.listeners]
        asked = iter([each for each in requests(reference, count, random.Random(1)) if each.port in ports])

        async def client() -> None:
            for each in asked:
                got = await self.ask(each)
                for _ in range(50):
                    # a daemon that has just started opens its slots one answer at a time
                    if got is None or got.status != 503:
                        break
                    await asyncio.sleep(0.02)
                    got = await self.ask(each)
                if got is None:
                    self.found["no answer"] += 1
                    continue
                if each.method == "HEAD" and got.status == 501:
                    # what it is for stands in the body, and HEAD goes by the routes of GET
                    got = await self.ask(replace(each, method="GET")) or got
                what, told = difference(reference, imported.report, each, reference.follow(each), got)
                self.found["same" if not what else "reported" if told else "unreported"] += 1
                if what and not told:
                    self.unreported.append(f"{self.name}: {each}: {what}")

        with child("-m", "plovertrail.cli", "serve", str(site), cpu=4):
            for port in ports:
                await asyncio.to_thread(wait_for, port)
            await asyncio.gather(*(client() for _ in range(CLIENTS)))
        for server in self.servers:
            server.stop()


def long_import(folder: Path, lines: int) -> tuple[int, float]:
    """Lines of a large configuration, and the seconds that reading, importing and checking it take."""
    parts = ["events {}", "http {", "upstream u {", "server 127.0.0.1:9001;", "}"]
    number = 0
    while len(parts) < lines - 1:
        number += 1
        parts += [
            "server {",
            "listen 127.0.0.1:8001;",
            f"server_name t{number}.example *.t{number}.example;",
            "proxy_set_header Host $host;",
            "proxy_set_header X-Real-IP $remote_addr;",
            "location / {",
            "proxy_pass http://u;",
            "}",
            "location /static/ {",
            f"proxy_pass http://u/t{number}/;",
            "}",
            "location ~* \\.(png|jpg)$ {",
            "proxy_pass http://u;",
            "}",
            "location = /ping {",
            "return 204;",
            "}",
            "}",
        ]
    conf = folder / "long.conf"
    conf.write_text("\n".join([*parts, "}", ""]))
    began = time.perf_counter()
    Importer(read_tree(str(conf))).run()
    return len(parts) + 1, time.perf_counter() - began


def generated(count: int, each: int, folder: Path) -> Counter[str]:
    """Configurations made at random, decided with no sockets."""
    from hypothesis import HealthCheck, Phase, given, settings
    from hypothesis import strategies as st

    from plovertrail.nginx.importer import NothingToServeError
    from tests.nginx.generated import configurations

    found: Counter[str] = Counter()
    conf = folder / "made.conf"

    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(configurations, st.integers(0, 2**16))
    def play(text: str, seed: int) -> None:
        conf.write_text(text)
        try:
            imported = Importer(read_tree(str(conf))).run()
        except NothingToServeError:
            found["nothing to serve"] += 1
            return
        found["configurations"] += 1
        setup, reference = parse(imported.text), Reference(str(conf))
        ports = [listener.address[1] for listener in setup.listeners]
        for asked in requests(reference, each, random.Random(seed)):
            if asked.port in ports:
                what, told = difference(
                    reference, imported.report, asked, reference.follow(asked), decided(setup, asked)
                )
                found["same" if not what else "reported" if told else "unreported"] += 1

    play()
    return found


def main() -> int:
    """Play the corpus and generated configurations and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1000, help="for each configuration of the corpus")
    parser.add_argument("--generated", type=int, default=1000, help="configurations made at random")
    parser.add_argument("--only", default="", help="one configuration of the corpus")
    options = parser.parse_args()
    sites: list[Site] = []
    kinds: Counter[Treatment] = Counter()
    with tempfile.TemporaryDirectory() as folder:
        for name, text in corpus().items():
            if options.only in ("", name):
                site = Site(name, text, Path(folder))
                asyncio.run(site.play(options.requests))
                sites.append(site)
                kinds += Importer(read_tree(str(Path(folder) / f"{name}.conf"))).run().report.counts()
        made = generated(options.generated, 100, Path(folder))
        lines, seconds = long_import(Path(folder), 5000)
    table(
        ["configuration", "same", "reported", "unreported", "no answer"],
        [
            [site.name, *(site.found[key] for key in ("same", "reported", "unreported", "no answer"))]
            for site in sites
        ],
    )
    for site in sites:
        for line in site.unreported[:3]:
            print(line)
    whole = sum((site.found for site in sites), Counter[str]())
    told = {kind.name.lower(): kinds[kind] for kind in Treatment}
    print(f"corpus: {len(sites)} configurations, {dict(whole)}; directives: {told}")
    print(f"generated: {dict(made)}")
    print(f"{lines} lines: {seconds:.2f} s")
    bars = [
        Bar("differences that no report tells of", whole["unreported"] + made["unreported"], 0),
        Bar("requests with no answer", whole["no answer"], 0),
        Bar("seconds for 5,000 lines", seconds, 2.0),
    ]
    figures: dict[str, object] = {
        "corpus": dict(whole),
        "generated": dict(made),
        "directives": told,
        "configurations": len(sites),
        "seconds": seconds,
    }
    return close("nginx_equivalence", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
