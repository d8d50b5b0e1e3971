"""Structured logs on standard error, one line per event, as JSON or for a console."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = ("debug", "info", "warning", "error")
Log = Any
"""A bound structlog logger, whose methods take the event name and its fields."""


def logger(level: str = "info", form: str = "json", out: TextIO | None = None, **fields: Any) -> Log:
    """Return a logger that adds `fields` to every line. Raises ValueError for an unknown level or form."""
    if level not in LEVELS:
        raise ValueError(f"log level: {level!r}; one of {', '.join(LEVELS)}")
    if form not in ("json", "console"):
        raise ValueError(f"log form: {form!r}; json or console")
    renderer: Any = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    return structlog.wrap_logger(
        structlog.PrintLogger(out or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        context_class=dict,
        **fields,
    )


def on_failure(log: Log) -> Any:
    """Return a failure callback for `net.threads.spawn` that logs the exception with the thread's name."""

    def log_failure(thread: str, error: BaseException) -> None:
        log.error("thread_failed", thread=thread, exc_info=error)

    return log_failure
