"""A stand-in for live coin balances: a page, and the server of the WebSocket that it opens."""

from __future__ import annotations

import asyncio
import itertools
import json

from fakes.frames import CLOSE, PING, PONG, TEXT, frame
from fakes.live import Line, Script

EVERY_S = 0.5
READERS = ("amihan", "bituin", "luningning")
PAGE = b"""<!doctype html>
<meta charset="utf-8">
<title>Live balances</title>
<style>body { font: 1.1rem system-ui; margin: 3rem } td { padding: .2rem 1.5rem .2rem 0 }</style>
<h1>Live balances</h1>
<p id="state">connecting</p>
<table id="balances"></table>
<ul id="log"></ul>
<script>
  const state = document.getElementById("state"), log = document.getElementById("log");
  const tell = text => {
    const line = document.createElement("li");
    line.textContent = new Date().toLocaleTimeString() + " " + text;
    log.prepend(line);
    while (log.children.length > 10) log.lastChild.remove();
  };
  const connect = () => {
    const socket = new WebSocket("ws://" + location.host + "/live");
    socket.onopen = () => { state.textContent = "open"; };
    socket.onmessage = message => {
      const table = document.getElementById("balances"), news = JSON.parse(message.data);
      table.replaceChildren(...Object.entries(news.balances).map(([name, coins]) => {
        const row = document.createElement("tr");
        row.append(...[name, coins + " coins"].map(text => {
          const cell = document.createElement("td");
          cell.textContent = text;
          return cell;
        }));
        return row;
      }));
      state.textContent = "open, served by " + news.server;
    };
    socket.onclose = event => {
      const hint = /retry-after=([0-9.]+)/.exec(event.reason);
      const seconds = hint ? Number(hint[1]) : 1;
      state.textContent = "closed";
      tell("closed with " + event.code + " (" + event.reason + "), back in " + seconds + " s");
      setTimeout(connect, seconds * 1000);
    };
  };
  connect();
</script>
"""
PAGE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html; charset=utf-8\r\nContent-Length: %d\r\n\r\n" % len(PAGE)
    + PAGE
)


def publisher(name: str) -> Script:
    """Accepts, and tells the balances twice a second until the client closes."""

    async def publish(line: Line) -> None:
        await line.accept()
        telling = asyncio.create_task(tell(line))
        try:
            while True:
                got = await line.next()
                if got.opcode == PING:
                    line.send(frame(PONG, got.payload))
                elif got.opcode == CLOSE:
                    line.send(frame(CLOSE, got.payload[:2]))
                    return
        finally:
            telling.cancel()

    async def tell(line: Line) -> None:
        for number in itertools.count():
            balances = {reader: 100 + number * (place + 1) % 50 for place, reader in enumerate(READERS)}
            line.send(frame(TEXT, json.dumps({"server": name, "balances": balances}).encode()))
            await line.writer.drain()
            await asyncio.sleep(EVERY_S)

    return publish
