"""Decides whether the bytes behind a response are the remainder of its body, so that its length is too small.

An endpoint may write a length that counts characters and not bytes, or the length of another body. Cut off
there, the response would be served as a good one. Other endpoints send a good response and more than belongs
to it: a second copy, or noise. Where nothing tells these apart, the bytes are taken for the remainder:
the client can tell a failed request from a served one, but not a body that was cut off.

The remainder may come in a later read than the end of the response. A body that looks cut off is worth a
short wait for it; if nothing comes, the body is as long as its endpoint has made it.
"""

from __future__ import annotations

import codecs
import json
import re

MESSAGE_START = b"HTTP/1."
MIN_MESSAGE_START = 4  # bytes of it by which a message is known
HEAD_END = b"\r\n\r\n"
CHUNK_START = re.compile(rb"(?:\r\n)?[0-9A-Fa-f]+[ \t]*(?:;[^\r\n]*)?\r\n")
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
MIN_TEXT_BYTES = 16  # from which a body counts as text; a few bytes of any body may look like it
DOCUMENT_STARTS = (b"{", b"[")  # of JSON; numbers and words are whole wherever they are cut off
DOCUMENT_GOES_ON = (b"", b",", *DOCUMENT_STARTS)
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


def is_remainder_of_body(body: bytes, behind: bytes, chunked: bool) -> bool:
    """Return whether the bytes behind a complete response may be the remainder of its body."""
    if _starts_message(behind):
        return False
    if chunked and CHUNK_START.match(behind):
        return True
    if _is_document(body):
        return behind.lstrip()[:1] in DOCUMENT_GOES_ON and _is_text(behind)
    if _is_document(body + behind):
        return True
    if behind.strip() and behind.endswith(HEAD_END):
        return False  # a message of which nothing but the end of its head can be read
    return not (len(body) >= MIN_TEXT_BYTES and _is_text(body) and not _is_text(body + behind))


def _starts_message(data: bytes) -> bool:
    start = data[: len(MESSAGE_START)]
    return len(start) >= MIN_MESSAGE_START and MESSAGE_START.startswith(start)


def _is_document(data: bytes | bytearray) -> bool:
    """Whether these bytes are a whole JSON document."""
    if not data.lstrip().startswith(DOCUMENT_STARTS):
        return False
    try:
        json.loads(data)
    except (ValueError, RecursionError):
        return False
    return True


def _is_text(data: bytes) -> bool:
    """Whether these bytes are text in UTF-8; its last character may be cut off."""
    if CONTROL_BYTE.search(data):
        return False
    try:
        codecs.getincrementaldecoder("utf-8")().decode(data)
    except UnicodeDecodeError:
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
