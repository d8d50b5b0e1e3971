"""Stateless translation between the platform's RTSP messages and the core's events and orders, with
checks."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence

from ..core import interface as api
from ..core.settings import MS_PER_SECOND
from ..wire import rtsp
from ..wire.dns import HostRecord

EXCHANGE_URL, LOAD_URL = b"rtsp://media/exchange", b"rtsp://media/load"
TITLE_URL = re.compile(rb"rtsp://media/([0-9a-f]{16})\Z")
NUMBER = re.compile(rb"[0-9]{1,10}(?:\.[0-9]{1,6})?\Z")
COUNT = re.compile(rb"[0-9]{1,5}\Z")
HOST_NAME = re.compile(rb"[0-9A-Za-z][0-9A-Za-z-]{0,62}\Z")
GAUGE = re.compile(rb"([0-9A-Za-z_]+):([0-9]{1,9}(?:\.[0-9]{1,9})?)\Z")
MAX_SECONDS = 4_294_967.296
"""Upper limit of a plausible deadline or hint in seconds: 2**32 milliseconds."""

MAX_LOAD = 1000.0
"""Upper limit of a reported load, as a multiple of the capacity of a link or uplink: a larger one is
implausible and would make a gateway refuse all sessions there until the next report."""

OUTCOME_BY_STATUS = {453: api.Outcome.BUSY, 454: api.Outcome.SKIPPED, 504: api.Outcome.RESET}
"""Outcome of a set-up by the status of the host's response; any other status is an error."""
OUTCOME_BY_CAUSE = {16: api.Outcome.DONE, 41: api.Outcome.RESET, 31: api.Outcome.CANCELLED}
"""Outcome of an established session by the cause in the host's TEARDOWN; any other cause is a reset."""
CAUSE_BY_OUTCOME = {api.Outcome.DONE: 16, api.Outcome.CANCELLED: 31}
"""Cause in a TEARDOWN to a viewer by outcome; 41 for all other outcomes."""


class BadRequestError(ValueError):
    """An invalid set-up request; the text names the field."""


def _parse_number(value: bytes | None, field: str) -> float:
    if value is None or not NUMBER.match(value):
        raise BadRequestError(f"{field}: no number")
    return float(value)


def parse_setup(
    message: rtsp.Message, classes: Sequence[str], settings: api.Settings
) -> tuple[api.SessionRequest, str | None]:
    """The request in a viewer's SETUP, and the name of the host on which it already plays, if any.

    Raises BadRequestError for values that the hosts or the core can't use: a host closes a connection on
    malformed input, with everything else pending on it.
    """
    title = TITLE_URL.match(message.target)
    if not title:
        raise BadRequestError("address: no title")
    if message.fields.get(b"cseq") != b"1":
        raise BadRequestError("CSeq: 1 expected")
    class_no = _index_of_name(message.fields.get(b"x-tier", b""), classes)
    if class_no is None:
        raise BadRequestError("X-Tier: no such class")
    tenant = _parse_tenant(message.fields.get(b"x-tenant"), settings)
    patience = _parse_number(message.fields.get(b"x-deadline"), "X-Deadline") / MS_PER_SECOND
    if not 0 < patience <= MAX_SECONDS:
        raise BadRequestError("X-Deadline: out of range")
    hint = message.fields.get(b"expected-ms")
    length = None if hint is None else _parse_number(hint, "Expected-Ms") / MS_PER_SECOND
    if length is not None and length > MAX_SECONDS:
        raise BadRequestError("Expected-Ms: out of range")
    if not rtsp.is_description(message.body):
        raise BadRequestError("description: can't be read")
    attributes = _parse_attributes(message.fields.get(b"x-attrs"))
    home, holders = _parse_count(attributes, b"home"), _parse_count(attributes, b"copies")
    top = _parse_count(attributes, b"top")
    if home >= settings.cells:
        raise BadRequestError("X-Attrs: home is out of range")
    if not 1 <= holders <= settings.cells:
        raise BadRequestError("X-Attrs: copies is out of range")
    if top >= len(settings.ladder):
        raise BadRequestError("X-Attrs: top is out of range")
    playing_at = attributes.get(b"at")
    if playing_at is not None and not HOST_NAME.match(playing_at):
        raise BadRequestError("X-Attrs: at names no host")
    request = api.SessionRequest(
        session=0, class_no=class_no, tenant=tenant, title=title[1].decode("ascii"), patience=patience,
        hint=length, home=home, holders=holders, top=top, again=attributes.get(b"again") == b"1",
    )  # fmt: skip
    return request, playing_at.decode("ascii") if playing_at is not None else None


def _index_of_name(value: bytes, names: Sequence[str]) -> int | None:
    """The index of a field's value in `names`; non-ASCII bytes may be UTF-8 or Latin-1. None: not found."""
    for coding in ("utf-8", "latin-1"):
        try:
            return names.index(value.decode(coding))
        except ValueError:
            continue
    return None


def _parse_tenant(value: bytes | None, settings: api.Settings) -> int:
    """The index of a request's tenant, 0 if it names none or the site has none."""
    if value is None or not settings.tenants:
        return 0
    tenant = _index_of_name(value, [x.name for x in settings.tenants])
    if tenant is None:
        raise BadRequestError("X-Tenant: no such tenant")
    return tenant


def _parse_attributes(text: bytes | None) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for part in text.split(b";") if text else ():
        name, sep, value = part.partition(b":")
        if not sep or name in found:
            raise BadRequestError("X-Attrs: can't be read")
        found[name] = value
    return found


def _parse_count(attributes: dict[bytes, bytes], name: bytes) -> int:
    value = attributes.get(name, b"")
    if not COUNT.match(value):
        raise BadRequestError(f"X-Attrs: {name.decode('ascii')} is no number")
    return int(value)


def parse_load(message: rtsp.Message) -> api.Load | None:
    """The load report in a host's message; None: there is none or it is malformed.

    `x0` and `x1` are ratios of demand to capacity as in the simulator: 1 is full, although the example in the
    protocol's page looks like percentages.
    """
    text = message.fields.get(b"x-gauges")
    if text is None:
        return None
    values = {}
    for part in text.split(b";"):
        found = GAUGE.match(part.strip())
        if not found:
            return None
        values[found[1]] = float(found[2])
    if any(values.get(x, 0.0) > MAX_LOAD for x in (b"x0", b"x1")):
        return None
    return api.Load(streams=values.get(b"rif"), link=values.get(b"x0"), uplink=values.get(b"x1"))


def parse_note(message: rtsp.Message, server: int) -> api.DeliveryNote | api.LoadNote | int | None:
    """The note in a host's ANNOUNCE; a rung is returned as its number. None: malformed or unknown."""
    kind, figure = message.fields.get(b"x-outcome"), message.fields.get(b"figure", b"")
    if not NUMBER.match(figure):
        return None
    value = float(figure)
    if kind == b"delivered":
        return api.DeliveryNote(server, value)
    if kind == b"rung":
        return int(value)
    if kind in (b"link", b"uplink") and value > MAX_LOAD:
        return None
    if kind == b"link":
        return api.LoadNote(server, api.Load(link=value))
    return api.LoadNote(server, api.Load(uplink=value)) if kind == b"uplink" else None


def server_entry(
    host: HostRecord, number: int, zones: Sequence[str], kinds: Sequence[str]
) -> api.ServerEntry:
    """The core's entry for a host of the list; a zone or kind that the settings don't name becomes the
    first."""
    return api.ServerEntry(
        server=number,
        zone=zones.index(host.zone) if host.zone in zones else 0,
        kind=kinds.index(host.kind) if host.kind in kinds else 0,
        cell=host.cell,
        state=api.State.DRAINING if host.draining else api.State.READY,
        weight=host.weight,
        started=host.started_ms / MS_PER_SECOND,
    )


# Messages to viewers


def setup_succeeded(session: bytes, description: bytes) -> bytes:
    """Response to a set-up whose session is established."""
    return rtsp.response(200, ((b"CSeq", b"1"), (b"Session", session)), description)


def setup_refused(session: bytes, retry_after: float) -> bytes:
    """Response to a refused set-up; `retry_after`: seconds, 0: no advice."""
    fields = [(b"CSeq", b"1"), (b"Session", session)]
    if retry_after > 0:
        fields.append((b"X-Cooldown", b"%d" % math.ceil(retry_after * MS_PER_SECOND)))
    return rtsp.response(503, fields)


def setup_failed(session: bytes) -> bytes:
    """Response to a set-up that failed and may have run."""
    return rtsp.response(500, ((b"CSeq", b"1"), (b"Session", session)))


def status_response(status: int, message: rtsp.Message | None = None) -> bytes:
    """Response with a status only: to an OPTIONS, a TEARDOWN, an invalid request or, without `message`, to
    malformed input."""
    fields = [(b"CSeq", (message.fields.get(b"cseq") if message else None) or b"0")]
    if message and message.session:
        fields.append((b"Session", message.session))
    return rtsp.response(status, fields)


# Messages to viewers and hosts


def teardown(session: bytes, cause: int | None) -> bytes:
    """TEARDOWN of an established session; without a cause, of a pending set-up."""
    fields = [(b"CSeq", b"2"), (b"Session", session)]
    if cause is not None:
        fields.append((b"Reason", b"cause=%d" % cause))
    return rtsp.request(b"TEARDOWN", EXCHANGE_URL, fields)


def redirect(session: bytes) -> bytes:
    """REDIRECT: the session is moved off its host."""
    return rtsp.request(b"REDIRECT", EXCHANGE_URL, ((b"CSeq", b"4"), (b"Session", session)))


# Messages to hosts


def setup_request(
    session: bytes, class_no: bytes, title: str, description: bytes, rung: int, timeout: float
) -> bytes:
    """SETUP of an attempt; `timeout`: seconds that the host may take."""
    fields = (
        (b"CSeq", b"1"),
        (b"Session", session),
        (b"X-Tier", class_no),
        (b"X-Deadline", b"%d" % max(1, int(timeout * MS_PER_SECOND))),
        (b"Rate-Step", b"%d" % rung),
    )
    return rtsp.request(b"SETUP", b"rtsp://media/" + title.encode("ascii"), fields, description)


def set_rung(session: bytes, number: int) -> bytes:
    """SET_PARAMETER with the rung of a session."""
    fields = ((b"CSeq", b"5"), (b"Session", session), (b"Rate-Step", b"%d" % number))
    return rtsp.request(b"SET_PARAMETER", EXCHANGE_URL, fields)


def load_probe(session: bytes) -> bytes:
    """OPTIONS that requests the host's load; `session` identifies the probe."""
    return rtsp.request(b"OPTIONS", LOAD_URL, ((b"CSeq", b"3"), (b"Session", session)))
