"""State that a gateway keeps across a restart: retry budget, pacing of cold hosts and link readings.

It is captured twice a second and restored by the next run if it is recent enough. Without it, when many
gateways restart at once, each would start with an empty budget window and an immediate set-up at every cold
host, and together they would overload the hosts. On the other hand, old readings must not pass for new ones.
So each part is dropped beyond some age, and nothing restored permits a retry or a set-up earlier than a start
without it would.
"""

from __future__ import annotations

import math

import msgspec

from . import interface as api
from .policy import Controller
from .session_manager import SessionManager


class ColdHostPacing(msgspec.Struct, frozen=True, array_like=True):
    """Pacing of set-ups at a cold host, in seconds relative to the capture."""

    server: int
    started_ago: float
    """Seconds before the capture at which the host started, to recognize a restart."""
    next_setup_in: float
    """Seconds until this gateway's next set-up there."""
    cold_for: float
    """Seconds until the host is no longer cold."""


class LinkReading(msgspec.Struct, frozen=True, array_like=True):
    """Last reading of the use of a host's link or of a rack's uplink."""

    number: int
    """Server or rack number."""
    value: float
    age_seconds: float
    """Age of the reading at the capture."""


class Carryover(msgspec.Struct, frozen=True, array_like=True):
    """The captured state. Times are seconds before the capture, so that runs share only the wall clock."""

    taken_at: float
    """Unix time of the capture."""
    session_times: tuple[float, ...] = ()
    """Ages of viewers' sessions within the budget window."""
    retry_times: tuple[float, ...] = ()
    """Ages of retries within the budget window."""
    host_pacing: tuple[ColdHostPacing, ...] = ()
    links: tuple[LinkReading, ...] = ()
    uplinks: tuple[LinkReading, ...] = ()
    retry_count: int = 0
    """Number of the last retry included; retries recorded one by one count if their number is higher."""


class CarryoverError(ValueError):
    """Bytes that are not an encoded carry-over."""


def encode(carryover: Carryover) -> bytes:
    """Encode as MessagePack."""
    return msgspec.msgpack.encode(carryover)


def decode(data: bytes) -> Carryover:
    """Decode from MessagePack. Raises CarryoverError."""
    try:
        return msgspec.msgpack.decode(data, type=Carryover)
    except msgspec.MsgspecError as error:
        raise CarryoverError(f"carry-over: {error}") from error


def capture(session_manager: SessionManager, controller: Controller, now: float, wall: float) -> Carryover:
    """Capture the state for the next run. `now` is monotonic time, `wall` Unix time, in seconds."""
    window = controller.settings.budget_window
    fleet = controller.fleet
    host_pacing = tuple(
        ColdHostPacing(x.entry.server, now - x.entry.started, x.next_setup_at - now, x.cold_until - now)
        for x in fleet.servers.values()
        if x.cold_until > now
    )
    links = tuple(
        LinkReading(x.entry.server, x.link.last_reading, now - x.link.read_at)
        for x in fleet.servers.values()
        if x.link.last_reading is not None
    )
    uplinks = tuple(
        LinkReading(rack, x.last_reading, now - x.read_at)
        for rack, x in fleet.uplinks.items()
        if x.last_reading is not None
    )
    return Carryover(
        wall,
        tuple(now - x for x in session_manager.budget.session_times if now - x < window),
        tuple(now - x for x in session_manager.budget.retry_times if now - x < window),
        host_pacing, links, uplinks, session_manager.budget.retry_count,
    )  # fmt: skip


def restore_budget(
    session_manager: SessionManager, controller: Controller, stored: Carryover | None,
    recorded_retries: list[tuple[int, float]], now: float, wall: float,
) -> int:  # fmt: skip
    """Restore sessions and retries of the budget window, before the first request; returns the retry count.

    `recorded_retries` holds the number and Unix time of retries recorded one by one, including those after
    the capture. Sessions after the capture, at most one capture interval of them, are lost, which makes the
    budget stricter. If the wall clock was set back, retries count as of now and sessions are dropped.
    """
    window = controller.settings.budget_window
    if window <= 0:
        return 0
    carryover = stored or Carryover(wall)
    elapsed = wall - carryover.taken_at
    backwards = elapsed < 0
    retry_times = [now - (0.0 if backwards else x + elapsed) for x in carryover.retry_times]
    retry_times += [
        now - max(0.0, wall - at) for number, at in recorded_retries if number > carryover.retry_count
    ]
    session_times = [] if backwards else [now - (x + elapsed) for x in carryover.session_times]
    session_manager.budget.retry_count = max(
        (carryover.retry_count, *(number for number, _ in recorded_retries))
    )
    retry_times = sorted(x for x in retry_times if now - x < window)
    session_times = sorted(x for x in session_times if now - x < window)
    for at in retry_times:
        controller.further_attempts.add(at, 1.0)
    for at in session_times:
        controller.requests_taken.add(at, 1.0)
    session_manager.budget.restore(session_times, retry_times)
    return len(retry_times)


def restore_fleet(controller: Controller, stored: Carryover, now: float, wall: float) -> tuple[int, int]:
    """Restore pacing and link readings after the first host list; returns how many of each.

    Pacing applies only if the host has not restarted since, and only if it delays the next set-up that the
    module has drawn anew: a restart never brings a set-up forward. A reading is restored if it is younger
    than the time for which the module trusts readings and no newer one has arrived. The module's cold time
    bounds what it infers from a reading's age.
    """
    elapsed = wall - stored.taken_at
    if elapsed < 0:
        return 0, 0
    restored_pacing = restored_readings = 0
    for pacing in stored.host_pacing:
        server = controller.fleet.servers.get(pacing.server)
        if server is None or now >= server.cold_until:
            continue
        same_start = math.isclose(now - server.entry.started, pacing.started_ago + elapsed, abs_tol=1.0)
        if same_start and now + pacing.next_setup_in - elapsed > server.next_setup_at:
            server.next_setup_at = now + pacing.next_setup_in - elapsed
            restored_pacing += 1
    limit = max(controller.settings.note_delay * 4.0, controller.settings.note_interval)
    for reading in stored.links:
        server = controller.fleet.servers.get(reading.number)
        ready = server is not None and server.entry.state is api.State.READY
        if (
            server is not None
            and ready
            and server.link.last_reading is None
            and reading.age_seconds + elapsed < limit
        ):
            server.link.record_reading(reading.value, now, controller.settings.note_delay)
            server.link.read_at = now - reading.age_seconds - elapsed
            restored_readings += 1
    for reading in stored.uplinks:
        link_use = controller.fleet.uplinks.get(reading.number)
        if link_use is not None and link_use.last_reading is None and reading.age_seconds + elapsed < limit:
            link_use.record_reading(reading.value, now, controller.settings.note_delay)
            link_use.read_at = now - reading.age_seconds - elapsed
            restored_readings += 1
    if restored_readings:
        controller.mean_link_use = controller.fleet.mean_link_use()
    return restored_pacing, restored_readings
