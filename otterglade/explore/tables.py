"""The tables of state and event as a page: `python -m otterglade.explore.tables` prints
docs/fleet-tables.md."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

from ..core.fleet import (
    acceptor,
    content_store,
    editions,
    member_state,
    proposer_stages,
    recovery,
    trust,
    witness,
)


def _cell(found: Any) -> str:
    """A state, or a state and what is done."""
    if isinstance(found, tuple):
        after, act = found
        return f"{after.name.lower()}: {act.value}"
    return str(found.name.lower())


def _grid(rows: Iterable[Enum], columns: Iterable[Enum], cell: Mapping[Any, Any]) -> list[str]:
    columns = list(columns)
    lines = ["| | " + " | ".join(str(x.value) for x in columns) + " |", "| --- " * (len(columns) + 1) + "|"]
    for row in rows:
        cells = (_cell(cell[row, x]) if (row, x) in cell else "-" for x in columns)
        lines.append(f"| **{row.name.lower()}** {row.value} | " + " | ".join(cells) + " |")
    return lines


def _reasons(pairs: Mapping[Any, str]) -> list[str]:
    found: dict[str, list[str]] = {}
    for (row, column), why in pairs.items():
        found.setdefault(why, []).append(f"{row.name.lower()} / {column.value}")
    return ["", "Where there is `-`, it can't happen:", ""] + [
        f"- {why}: {'; '.join(x)}" for why, x in found.items()
    ]


def page() -> str:
    """All of them, in Markdown."""
    lines = [
        "# Tables of the fleet",
        "",
        "Made from the code by `python -m otterglade.explore.tables`; a test compares the two.",
        "",
        "## How a peer stands (`core/fleet/member_state.py`)",
        "",
        *_grid(member_state.MemberState, member_state.MemberEvent, member_state.TRANSITIONS),
        *_reasons(member_state.UNREACHABLE),
        "",
        "## What a witness has of a session (`core/fleet/witness.py`)",
        "",
        *_grid(witness.ClaimState, witness.ClaimEvent, witness.TRANSITIONS),
        *_reasons(witness.UNREACHABLE),
        "",
        "## A voter of a duty (`core/fleet/acceptor.py`)",
        "",
        *_grid(acceptor.AcceptorState, acceptor.AcceptorEvent, acceptor.TRANSITIONS),
        *_reasons(acceptor.UNREACHABLE),
        "",
        "## A candidate and owner of a duty (`core/fleet/proposer_stages.py`)",
        "",
        *_grid(proposer_stages.Stage, proposer_stages.Step, proposer_stages.STAGES),
        *_reasons(proposer_stages.STAGES_UNREACHABLE),
        "",
        "## An edition of a region's routing part (`core/fleet/editions.py`)",
        "",
        *_grid(editions.EditionStage, editions.EditionEvent, editions.TRANSITIONS),
        *_reasons(editions.UNREACHABLE),
        "",
        "## What is known by its digest (`core/fleet/content_store.py`)",
        "",
        *_grid(content_store.ContentStage, content_store.ContentEvent, content_store.TRANSITIONS),
        *_reasons(content_store.UNREACHABLE),
        "",
        "## How a gateway comes back (`core/fleet/recovery.py`)",
        "",
        *_grid(recovery.RecoveryPhase, recovery.RecoveryEvent, recovery.TRANSITIONS),
        "",
        "Kinds of a start:",
        "",
        *(f"- **{x.name.lower()}**: {x.value}" for x in recovery.StartKind),
        "",
        "## What is trusted from before (`core/fleet/trust.py`)",
        "",
        *_grid(trust.StoredItem, recovery.StartKind, trust.TRUST),
        "",
        *(f"- **{x.value}**: {trust.reason(x)}." for x in trust.StoredItem),
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
