"""Which stored items a gateway trusts after a start: a table with a row for each item and a column for each
kind of start.

The daemon reads the table through `is_used`; the operators' page of tables is generated from it.
"""

from __future__ import annotations

from enum import Enum

from .recovery import StartKind


class StoredItem(Enum):
    """What a gateway keeps on its disk; the values are printed on the generated page of tables."""

    ATTEMPTS = "the log of own paid attempts"
    WITNESSED_CLAIMS = "claims that this gateway witnesses"
    VOTES = "what this gateway has promised and accepted as a voter of duties"
    BUDGET = "the window of sessions and further attempts"
    COLD_HOST_PACING = "turns drawn at cold hosts"
    LOAD_READINGS = "readings of links and uplinks"
    HOST_LIST = "the last list of hosts"
    PEER_BOOTS = "the highest boots of other gateways"
    HOST_RUNS = "the runs of hosts"


class Trust(Enum):
    """How a stored item is treated after a start."""

    TRUSTED = "trusted"
    CHECKED = "checked"
    DROPPED = "dropped"


_T, _C, _D = Trust

_ROWS: dict[StoredItem, tuple[tuple[Trust, ...], str]] = {
    # Columns in the order of StartKind: FIRST, OWN_RESTART, PARTIAL_RESTART, FLEET_RESTART, BLACKOUT,
    # NEW_DISK.
    StoredItem.ATTEMPTS: (
        (_C, _C, _C, _C, _C, _C),
        "each host is asked for the outcome of open attempts; a host that has restarted since proves nothing,"
        " so an attempt that was not seen to play stays unsure there for its stated time",
    ),
    StoredItem.WITNESSED_CLAIMS: (
        (_T, _T, _T, _T, _T, _D),
        "durable before each reply; replies may have been sent that an old or empty disk does not hold: this"
        " gateway abstains for as long as an attempt is unsure",
    ),
    StoredItem.VOTES: (
        (_T, _T, _T, _T, _T, _D),
        "durable before each reply; promises may have been made that an old or empty disk does not hold:"
        " this gateway abstains for as long as a witness does, and then until it has read the records of a"
        " majority of the other voters",
    ),
    StoredItem.BUDGET: (
        (_T, _T, _T, _T, _T, _D),
        "written before each further attempt is sent, and aged by the wall clock, erring on the strict side;"
        " the window of an old disk is over",
    ),
    StoredItem.COLD_HOST_PACING: (
        (_T, _T, _T, _T, _D, _D),
        "valid only for the same run of the same host, and never bring an attempt forward; after a blackout"
        " no host has that run any more",
    ),
    StoredItem.LOAD_READINGS: (
        (_T, _T, _T, _D, _D, _D),
        "valid for four note delays while the fleet runs on; once all gateways have ended, so has their load",
    ),
    StoredItem.HOST_LIST: (
        (_C, _C, _C, _C, _C, _C),
        "passed to the module as cached, until the registry's own list arrives",
    ),
    StoredItem.PEER_BOOTS: (
        (_T, _T, _T, _T, _T, _C),
        "lower bounds, and boots only increase: messages of an older boot are rejected; those of an old disk"
        " are raised by the peers",
    ),
    StoredItem.HOST_RUNS: (
        (_C, _C, _C, _C, _C, _C),
        "compared with those in the hosts' event streams, to detect hosts that have lost their state",
    ),
}  # fmt: skip
TRUST: dict[tuple[StoredItem, StartKind], Trust] = {
    (item, start): trust
    for item, (row, _) in _ROWS.items()
    for start, trust in zip(StartKind, row, strict=True)
}


def is_used(item: StoredItem, start: StartKind | None) -> bool:
    """Whether a stored item is used after a start, checked or not.

    None stands for a gateway without peers, which can only assume that it alone was restarted.
    """
    return TRUST[item, StartKind.OWN_RESTART if start is None else start] is not Trust.DROPPED


def reason(item: StoredItem) -> str:
    """Why an item is treated so, for the generated page of tables."""
    return _ROWS[item][1]
