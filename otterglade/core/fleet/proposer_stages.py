"""State machine of a proposer: stages of a candidacy and ownership, and the transitions between them."""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """Stages of a proposer; the values are shown to operators."""

    IDLE = "wants nothing"
    ASKS = "asks whether voters would"
    PREPARES = "asks for promises"
    TAKES = "has its ownership accepted"
    OWNS = "owns the duty"
    RAISES = "owns it, and asks for promises of a higher ballot"
    CHANGES = "owns it, and has a new state accepted"
    HANDS = "has its successor accepted"
    NAMED = "named as successor, asks voters whether they know"


class Step(Enum):
    """Events that change a proposer's stage."""

    TRY = "its turn to try"
    ENOUGH = "a majority says yes"
    RENEWED = "a majority renews the lease"
    HOPELESS = "so many say no that there can be no majority"
    LATE = "its time is over"
    LAPSED = "the lease has run out"
    CHANGE = "a new state was decided"
    RAISE = "a voter has promised a higher ballot, and is lost to it under its own"
    STOP = "stops as planned"
    NAMED = "told that it is the successor"


_ID, _AS, _PP, _TA, _OW, _RA, _CH, _HA, _NA = Stage
STAGES: dict[tuple[Stage, Step], Stage] = {
    (_ID, Step.TRY): _AS,
    (_ID, Step.STOP): _ID,
    (_ID, Step.NAMED): _NA,
    (_AS, Step.ENOUGH): _PP,
    (_AS, Step.HOPELESS): _ID,
    (_AS, Step.LATE): _ID,
    (_AS, Step.STOP): _ID,
    (_AS, Step.NAMED): _NA,
    (_PP, Step.ENOUGH): _TA,
    (_PP, Step.HOPELESS): _ID,
    (_PP, Step.LATE): _ID,
    (_PP, Step.STOP): _ID,
    (_PP, Step.NAMED): _PP,  # its own ballot is already higher than the notice's
    (_TA, Step.ENOUGH): _OW,
    (_TA, Step.HOPELESS): _ID,
    (_TA, Step.LATE): _ID,  # the next candidate completes or replaces the value
    (_TA, Step.STOP): _ID,
    (_TA, Step.NAMED): _TA,
    (_OW, Step.RENEWED): _OW,
    (_OW, Step.HOPELESS): _ID,
    (_OW, Step.LAPSED): _ID,
    (_OW, Step.CHANGE): _CH,
    (_OW, Step.STOP): _HA,
    (_OW, Step.NAMED): _OW,
    (_OW, Step.RAISE): _RA,
    (_RA, Step.ENOUGH): _CH,
    (_RA, Step.HOPELESS): _ID,
    (_RA, Step.LAPSED): _ID,
    (_RA, Step.STOP): _RA,  # repeated after the raise: no majority accepts a successor under either ballot
    (_RA, Step.NAMED): _RA,
    (_CH, Step.ENOUGH): _OW,
    (_CH, Step.RENEWED): _CH,
    (_CH, Step.HOPELESS): _ID,
    (_CH, Step.LAPSED): _ID,
    (_CH, Step.STOP): _HA,  # the hand-over proposes the pending state
    (_CH, Step.NAMED): _CH,
    (_HA, Step.ENOUGH): _ID,
    (_HA, Step.HOPELESS): _ID,
    (_HA, Step.LAPSED): _ID,
    (_HA, Step.STOP): _HA,
    (_HA, Step.NAMED): _HA,
    (_NA, Step.ENOUGH): _OW,
    (_NA, Step.HOPELESS): _ID,
    (_NA, Step.LATE): _ID,
    (_NA, Step.STOP): _ID,
    (_NA, Step.NAMED): _NA,
}
STAGES_UNREACHABLE: dict[tuple[Stage, Step], str] = {
    **{(x, Step.TRY): "an election starts only from idle" for x in Stage if x is not _ID},
    **{(_ID, x): "no request is pending" for x in (Step.ENOUGH, Step.HOPELESS, Step.LATE)},
    (_OW, Step.ENOUGH): "only lease renewals are pending",
    **{(x, Step.LAPSED): "no lease is held" for x in (_ID, _AS, _PP, _NA)},
    **{(x, Step.RENEWED): "there is no lease to renew" for x in (_ID, _AS, _PP, _TA, _NA)},
    (_HA, Step.RENEWED): "the lease is not renewed during a hand-over",
    (_TA, Step.LAPSED): "the round times out when the lease would expire",
    **{(x, Step.LATE): "bounded by the lease, not by a round" for x in (_OW, _RA, _CH, _HA)},
    **{(x, Step.CHANGE): "only an owner proposes states" for x in (_ID, _AS, _PP, _TA, _NA)},
    (_RA, Step.CHANGE): "the higher ballot is prepared first",
    (_RA, Step.RENEWED): "the lower ballot is not renewed any more, and the higher one not yet",
    **{
        (x, Step.RAISE): "only an owner without a pending request raises its ballot"
        for x in Stage
        if x is not _OW
    },
    (_CH, Step.CHANGE): "only one state at a time is proposed",
    (_HA, Step.CHANGE): "no state is proposed during a hand-over",
}
OWNING = frozenset((_OW, _RA, _CH))
"""Stages in which the gateway is the owner and gives orders."""
