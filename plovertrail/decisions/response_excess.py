"""Decides whether to wait for the remainder of a body, as its length may be too small.

An endpoint may write a length that counts characters and not bytes, or the length of another body. Cut off
there, the response would be served as a good one. The remainder may come in a later read than the end of the
response. A body that looks cut off is worth a short wait for it; if nothing comes, the body is as long as its
endpoint has made it. What bytes behind a response are is told by `upstreams.response_copies`.
"""

from __future__ import annotations

import json
import re

CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
DOCUMENT_STARTS = (b"{", b"[")  # of JSON; numbers and words are whole wherever they are cut off
BRACKETS = ((b"{", b"}"), (b"[", b"]"))
REMAINDER_WAIT_US = 50_000  # the second of two small writes may wait 40 ms for a delayed acknowledgement
MAX_WAIT_FRACTION = 0.5  # of the time that the attempt has left


def looks_cut_off(body: bytes | bytearray, is_json: bool) -> bool:
    """Return whether a body ends before its own form does: a JSON document, or text in UTF-8.

    `is_json`: its head says that it is JSON, of which no document is empty.
    """
    text = body.strip()
    if not text:
        return is_json
    for opening, closing in BRACKETS:
        if text.startswith(opening):
            return not (text.endswith(closing) and _is_balanced(text)) and not _is_document(text)
    return _ends_within_character(body)


def remainder_wait_us(elapsed_us: int, timeout_us: int) -> int:
    """Return for how long to wait for more of a body that looks cut off; `timeout_us` 0: no timeout."""
    if not timeout_us:
        return REMAINDER_WAIT_US
    return min(REMAINDER_WAIT_US, max(0, int(MAX_WAIT_FRACTION * (timeout_us - elapsed_us))))


def _is_document(data: bytes | bytearray) -> bool:
    """Whether these bytes are a whole JSON document."""
    if not data.lstrip().startswith(DOCUMENT_STARTS):
        return False
    try:
        json.loads(data)
    except (ValueError, RecursionError):
        return False
    return True


def _is_balanced(text: bytes | bytearray) -> bool:
    """Whether all brackets and quotes of a document may be closed; this is cheaper than to parse it."""
    if (text.count(b'"') - text.count(b'\\"')) % 2:
        return False
    return all(text.count(opening) == text.count(closing) for opening, closing in BRACKETS)


def _ends_within_character(data: bytes | bytearray) -> bool:
    """Whether these bytes are text in UTF-8 but for the last character, which is cut off."""
    if data[-1:].isascii():
        return False
    try:
        data.decode()
    except UnicodeDecodeError as error:
        return error.reason == "unexpected end of data" and not CONTROL_BYTE.search(data)
    return False
