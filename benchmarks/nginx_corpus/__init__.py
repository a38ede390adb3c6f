"""Configurations of nginx, written to be moved: small shops to large sites, and what is hard about them.

`LISTEN1`, `LPORT1` and `S1` stand for addresses that each run fills in.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path

FOLDER = Path(__file__).resolve().parent


def corpus() -> dict[str, str]:
    """Their texts, by name."""
    return {path.stem: path.read_text() for path in sorted(FOLDER.glob("*.conf"))}


def filled(text: str, listen: Mapping[int, int], servers: Mapping[int, str]) -> str:
    """A text with ports to listen on, and addresses of servers."""
    text = re.sub(r"\bLISTEN(\d)", lambda found: f"127.0.0.1:{listen[int(found[1])]}", text)
    text = re.sub(r"\bLPORT(\d)", lambda found: str(listen[int(found[1])]), text)
    return re.sub(r"\bS(\d)\b", lambda found: servers[int(found[1])], text)
