"""Times of a planned stop: how long requests are served, when the last answer is due and when to exit.

`schedule_shutdown` is for the platform's gateway. The platform sends SIGTERM and may send SIGKILL as early as
the deployment's longest deadline plus a fixed time later. What the kill finds unanswered is lost, so every
time here is counted back from the kill, and none from the patience of a viewer. `schedule_drain` is for the
daemon, whose supervisor allows a stated time.
"""

from __future__ import annotations

from dataclasses import dataclass

from .margin import LATENESS_FACTOR

MAX_COUNTED_DEADLINE_SECONDS = 3.0
"""A longer deadline counts as this one for the time of the kill."""
KILL_DELAY_SECONDS = 0.7
"""Seconds from the longest deadline, counted from SIGTERM, to the earliest SIGKILL."""
EXIT_MARGIN_SECONDS = 0.2
"""Seconds from the exit of the event loop to the kill: the interpreter's own exit takes some of them."""
CLOSING_SECONDS = 0.25
"""Seconds from the last answer to the exit: connections are shut down and read to their end, and hosts'
answers that cross a cancellation are released."""
FINAL_READ_SECONDS = 0.1
"""Seconds for which viewers' connections are still read after the last write: a message may cross the
shutdown within 50 ms, and left unread it would reset the connection and discard answers in flight."""
MAX_LATENESS_RESERVE_SECONDS = 0.25
"""Most seconds reserved for late timers: an answer that was due before SIGTERM still keeps its time."""
GRACE_SECONDS = 0.8
"""Seconds from the handling of SIGTERM during which requests may still arrive."""
REFUSE_AFTER_SECONDS = 1.0
"""Seconds from the handling of SIGTERM after which set-ups are refused at once: no request is served from
here so late, and a refused viewer has time to ask another gateway."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a planned stop in seconds of the gateway's clock, in this order but for `refuse_at`."""

    grace_ends_at: float
    """Until then the process does not end, as requests still arrive."""
    answers_due_at: float
    """No answer is due later, whatever the viewer's patience."""
    close_by: float
    """All viewers' connections are shut down by then, also those that never pause."""
    exit_by: float
    """The event loop ends by then."""
    kill_at: float
    """The earliest SIGKILL."""
    refuse_at: float
    """From then on set-ups are refused without asking the placement module."""


def schedule_shutdown(
    now: float, terminated_at: float, longest_deadline: float, lateness: float
) -> ShutdownSchedule:
    """The times of a stop that was ordered at `terminated_at` (seconds of the gateway's clock).

    The kill counts from there; the grace period counts from `now`, as no request could be served before.
    `longest_deadline`: of the deployment's classes, in seconds; `lateness`: the expected delay of a timer.
    """
    kill_at = terminated_at + min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS) + KILL_DELAY_SECONDS
    exit_by = kill_at - EXIT_MARGIN_SECONDS
    reserve = min(LATENESS_FACTOR * lateness, MAX_LATENESS_RESERVE_SECONDS)
    answers_due_at = exit_by - CLOSING_SECONDS - reserve
    return ShutdownSchedule(
        grace_ends_at=min(now + GRACE_SECONDS, answers_due_at),
        answers_due_at=answers_due_at,
        close_by=exit_by - FINAL_READ_SECONDS,
        exit_by=exit_by,
        kill_at=kill_at,
        refuse_at=min(now + REFUSE_AFTER_SECONDS, answers_due_at),
    )


MAX_DRAIN_EXIT_SECONDS, DRAIN_EXIT_SHARE = 0.5, 0.15
"""Seconds kept for the exit of the daemon's process, and the most that this may take of the drain time."""
MAX_DRAIN_CLOSE_SECONDS, DRAIN_CLOSE_SHARE = 0.5, 0.15
"""The same for closing the logs and files, after the hosts were told."""
MAX_DRAIN_RELEASE_SECONDS, DRAIN_RELEASE_SHARE = 1.0, 0.2
"""The same for telling the hosts which sessions end, after the last answer."""


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Latest times of the steps of a daemon's stop, in seconds of the clock that it was made with."""

    answers_due_at: float
    """Waiting viewers are answered by then."""
    released_by: float
    """No release at a host is waited for any longer."""
    exit_by: float
    """No log or thread is waited for any longer."""


def schedule_drain(now: float, limit: float) -> DrainSchedule:
    """The times of a stop that starts `now` and may take `limit` seconds in all."""
    exit_by = now + limit - min(MAX_DRAIN_EXIT_SECONDS, DRAIN_EXIT_SHARE * limit)
    released_by = exit_by - min(MAX_DRAIN_CLOSE_SECONDS, DRAIN_CLOSE_SHARE * limit)
    answers_due_at = released_by - min(MAX_DRAIN_RELEASE_SECONDS, DRAIN_RELEASE_SHARE * limit)
    return DrainSchedule(answers_due_at, released_by, exit_by)
