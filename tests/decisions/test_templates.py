"""Parsing and rendering of templates."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.templates import PLACEHOLDERS, escaped, parse_template


def test_placeholders_are_replaced_and_doubled_braces_are_literal() -> None:
    template = parse_template("https://{host}{uri}?{{x}}={1}")
    assert template.names == {"host", "uri", "1"}
    assert template.render({"host": "a.b", "uri": "/c{host}", "1": "{{"}) == "https://a.b/c{host}?{x}={{"


@pytest.mark.parametrize("text", ["{", "}", "{nothing}", "a}b", "{host", "{0}", "{}", "{host }", "{{{"])
def test_invalid_templates_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="brace|not known"):
        parse_template(text)


@given(st.text())
def test_an_escaped_text_renders_to_itself(text: str) -> None:
    template = parse_template(escaped(text))
    assert template.render({}) == text
    assert not template.names


@given(
    st.lists(
        st.one_of(
            st.sampled_from(sorted(PLACEHOLDERS)).map(lambda name: ("", name)),
            st.text().map(lambda text: (text, "")),
        )
    )
)
def test_a_template_renders_its_literals_and_placeholders(parts: list[tuple[str, str]]) -> None:
    text = "".join(f"{{{name}}}" if name else escaped(literal) for literal, name in parts)
    values = {name: f"<{name}>" for name in PLACEHOLDERS}
    assert parse_template(text).render(values) == "".join(f"<{n}>" if n else literal for literal, n in parts)
