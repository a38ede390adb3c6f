"""Texts with places for what a request tells."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.templates import PLACEHOLDERS, escaped, parse_template


def test_places_are_filled_and_doubled_braces_are_braces() -> None:
    made = parse_template("https://{host}{uri}?{{x}}={1}")
    assert made.names == {"host", "uri", "1"}
    assert made.render({"host": "a.b", "uri": "/c{host}", "1": "{{"}) == "https://a.b/c{host}?{x}={{"


@pytest.mark.parametrize("text", ["{", "}", "{nothing}", "a}b", "{host", "{0}", "{}", "{host }", "{{{"])
def test_what_is_no_template_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="brace|not known"):
        parse_template(text)


@given(st.text())
def test_an_escaped_text_is_filled_with_itself(text: str) -> None:
    made = parse_template(escaped(text))
    assert made.render({}) == text
    assert not made.names


@given(
    st.lists(
        st.one_of(
            st.sampled_from(sorted(PLACEHOLDERS)).map(lambda name: ("", name)),
            st.text().map(lambda text: (text, "")),
        )
    )
)
def test_a_template_says_what_it_was_made_of(parts: list[tuple[str, str]]) -> None:
    text = "".join(f"{{{name}}}" if name else escaped(plain) for plain, name in parts)
    values = {name: f"<{name}>" for name in PLACEHOLDERS}
    assert parse_template(text).render(values) == "".join(f"<{n}>" if n else plain for plain, n in parts)
