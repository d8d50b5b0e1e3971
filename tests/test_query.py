"""Queries decoded strictly: what two viewers can't share, what is refused, by which field."""

from __future__ import annotations

import unicodedata
import urllib.parse

import pytest
from hypothesis import given
from hypothesis import strategies as st

from otterglade.wire.query import QueryError, decimal, decoded, fields, whole

from .test_gateway import Build, build  # noqa: F401 - a fixture

NAMES = ("viewer", "top", "hint")


@pytest.mark.parametrize("query, said", [
    ("viewer=%ff", "viewer: found '%ff'; allowed: UTF-8"), ("viewer=%c3%28", "UTF-8"),
    ("viewer=%ed%a0%80", "UTF-8"), ("viewer=a%0ab", "no control characters"),
    ("viewer=%c2%85", "no control characters"), ("viewer=%7f", "no control characters"),
    ("viewer=%zz", "two hexadecimal digits"), ("viewer=%4", "two hexadecimal digits"),
    ("viewer=a&viewer=b", "viewer: found twice"), ("&" * 40, "query: found over 32 fields"),
])  # fmt: skip
def test_what_is_no_plain_text_is_refused_by_its_field(query: str, said: str) -> None:
    with pytest.raises(QueryError) as refusal:
        fields(query, NAMES)
    assert said in str(refusal.value)


@given(st.text(st.characters(exclude_categories=["Cs", "Cc"])), st.booleans())
def test_every_text_comes_back_as_it_was_and_no_two_are_alike(text: str, plus: bool) -> None:
    quoted = (urllib.parse.quote_plus if plus else urllib.parse.quote)(text, safe="")
    assert fields(f"a=%ff&viewer={quoted}&b", NAMES) == {"viewer": text}
    assert decoded(urllib.parse.quote(text), "title") == text


@given(st.binary(max_size=12))
def test_any_bytes_are_decoded_where_they_are_plain_utf8_else_refused(data: bytes) -> None:
    quoted = "".join(f"%{x:02x}" for x in data)
    text = data.decode("utf-8", "surrogateescape")
    if any(unicodedata.category(x) in ("Cs", "Cc") for x in text):
        with pytest.raises(QueryError):
            decoded(quoted, "viewer")
    else:
        assert decoded(quoted, "viewer") == text


@pytest.mark.parametrize("text", ["1_0", "٣", "+1", "-1", "1.5", "", "1e3", " 1", "9" * 10])
def test_a_whole_number_is_ascii_digits(text: str) -> None:
    with pytest.raises(QueryError, match="top: found"):
        whole(text, "top", 4)


@pytest.mark.parametrize("text", ["1_0", "٣.5", "nan", "inf", "-1", ".5", "5.", "1e3", "1" * 10])
def test_a_decimal_is_ascii_digits_with_at_most_one_point(text: str) -> None:
    with pytest.raises(QueryError, match="hint: found"):
        decimal(text, "hint")


def test_numbers_that_are_meant_are_read() -> None:
    assert (whole("07", "top", 4), whole(None, "top", 4)) == (7, 4)
    assert (decimal("12.5", "hint"), decimal("3", "hint"), decimal(None, "hint")) == (12.5, 3.0, None)


def test_the_gateway_refuses_them_and_starts_no_session(build: Build) -> None:  # noqa: F811
    house = build()
    start = house.url().partition("?")[0]
    for query in ("viewer=%ff", "viewer=%fe", "viewer=a%00", "viewer=v&top=1_0", "viewer=v&top=%D9%A3",
                  "viewer=v&hint=1e3", "viewer=", "", "viewer=" + "x" * 201):  # fmt: skip
        answer = house.get(f"{start}?{query}")
        assert answer.status == 400, query
        assert answer.body.split(b":")[0] in (b"viewer", b"top", b"hint")
    assert house.get(start.replace("job-0", "job%ff") + "?viewer=v").status == 400
    assert not house.ledger("asked")
    assert house.get(f"{start}?viewer=%C3%A9t%C3%A9&top=2&hint=3.5").status == 200
    assert house.ran(viewer="été")
