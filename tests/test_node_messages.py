"""Between the platform's messages and the core: units, bounds, what stops at the door."""

from __future__ import annotations

import pytest

from otterglade.core import interface as api
from otterglade.node import messages
from otterglade.wire import rtsp


def read(wire: bytes) -> rtsp.Message:
    reader = rtsp.Reader()
    reader.feed(wire)
    message = reader.next()
    assert message is not None
    return message


def test_gauges_are_parts_of_one_as_in_the_simulator() -> None:
    told = read(rtsp.response(200, ((b"Session", b"0" * 16), (b"X-Gauges", b"x0:0.841;x1:1.25"))))
    assert messages.load_of(told) == api.Load(link=0.841, uplink=1.25)


@pytest.mark.parametrize("text", [b"x0:", b"x0:-1", b"x0:nan", b"x0=1", b"x0:1e9", b";"])
def test_gauges_that_cannot_be_read_are_no_report(text: bytes) -> None:
    told = read(rtsp.response(200, ((b"Session", b"0" * 16), (b"X-Gauges", text))))
    assert messages.load_of(told) is None
