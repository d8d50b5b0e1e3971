"""What a soak prints: each finding with what stands around it, and the last line with its counts."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

from ...referee.platform_records import ProcessLife
from ...referee.platform_rules import Finding, Rule
from .run import Played

LOG_LINES = 12
"""Last lines of a gateway's log that a finding shows."""


def life_of(played: Played, finding: Finding) -> ProcessLife | None:
    """The process that a finding is about."""
    lives = [x for x in played.records.lives if x.gateway == finding.gateway and x.started_at <= finding.at]
    return lives[-1] if lives else None


def describe(played: Played, finding: Finding) -> str:
    """A finding with its seed, its time from SIGTERM, its host and the gateway's log."""
    life = life_of(played, finding)
    head = f"{finding.rule.value}: seed {played.plan.seed}, gateway {finding.gateway}"
    if finding.host:
        head += f", host {finding.host}"
    if life is not None:
        since = finding.at - life.started_at
        head += f", {since:.3f} s after its start"
        if life.terminated_at < math.inf:
            head += f", {finding.at - life.terminated_at:+.3f} s from SIGTERM"
    lines = [head, f"  {finding.text}"]
    if life is not None and life.log.exists():
        lines += [f"  | {x}" for x in life.log.read_text(errors="replace").splitlines()[-LOG_LINES:]]
    return "\n".join(lines)


def summary(played: list[Played]) -> dict[str, Any]:
    """Counts of runs, requests and findings by rule."""
    found = Counter(x.rule for one in played for x in one.findings)
    return {
        "runs": len(played),
        "requests": sum(len(x.records.requests) for x in played),
        "answered": sum(bool(y.answers) for x in played for y in x.records.requests),
        "established": sum(y.is_established for x in played for y in x.records.requests),
        "restarts": sum(y.terminated_at < math.inf for x in played for y in x.records.lives),
        "lateness_s": round(max((x.records.lateness for x in played), default=0.0), 3),
        "findings": {x.value: found[x] for x in Rule},
    }
