"""Witnesses: the table, the property it is for, and two gateways whose power goes at every step."""

from __future__ import annotations

import itertools
import random
from pathlib import Path

import pytest

from otterglade.core.claims import Claim
from otterglade.core.fleet import recovery, trust, witness
from otterglade.core.fleet.recovery import Bounds, Phase, Returns, Start, what_happened
from otterglade.core.fleet.witness import (
    MOST_CLAIMS,
    NEXT,
    UNREACHABLE,
    Event,
    Poll,
    Settled,
    Stands,
    Verdict,
    Witness,
    WitnessError,
    Word,
)  # fmt: skip
from otterglade.explore import tables


def claim(setup: str, viewer: str = "v", seen: bool = False, replaces: tuple[str, ...] = ()) -> Claim:
    return Claim(viewer, "c", "t", setup, 1, "e", 0, 0, seen, replaces)


def granted(keeper: Witness, one: Claim, now: float = 1.0) -> bool:
    word, record = keeper.claim(now, one)
    if record is not None:
        keeper.durable(one.setup)
    return word is not None and word.granted


def test_every_pair_is_reached_or_has_its_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    read: set[tuple[Stands, Event]] = set()

    class Table(dict[tuple[Stands, Event], Stands]):
        def __getitem__(self, pair: tuple[Stands, Event]) -> Stands:
            read.add(pair)
            return super().__getitem__(pair)

    monkeypatch.setattr(witness, "NEXT", Table(NEXT))
    assert {*NEXT} | {*UNREACHABLE} == {*itertools.product(Stands, Event)}
    draw = random.Random(1)
    keeper, now = Witness(20.0, 40.0), 0.0
    for _ in range(4000):
        now += draw.random() * 4.0
        viewer, setup = f"v{draw.randrange(3)}", f"s{draw.randrange(4)}"
        if draw.random() < 0.6:
            replaces = (f"s{draw.randrange(4)}",) if draw.random() < 0.3 else ()
            granted(keeper, claim(setup, viewer, replaces=replaces), now)
        else:
            keeper.settled(now, Settled(viewer, "c", "t", setup, draw.random() < 0.7))
    assert read == {*NEXT}


def test_one_that_stands_is_told_of_and_gives_way_only_to_who_knows_it_settled() -> None:
    keeper = Witness(600.0, 3600.0)
    assert granted(keeper, claim("a"))
    assert granted(keeper, claim("a")), "asked again"
    word, record = keeper.claim(2.0, claim("b"))
    assert word is not None and not word.granted and word.other == claim("a") and record is None
    assert granted(keeper, claim("b", replaces=("a",)))
    assert keeper.settled(3.0, Settled("v", "c", "t", "a", False)) is None, "word of one that stands no more"
    assert not granted(keeper, claim("c"))
    keeper.settled(3.0, Settled("v", "c", "t", "b", False))
    assert granted(keeper, claim("c"))


def test_no_word_before_its_record_is_durable_and_none_after_it_failed() -> None:
    keeper = Witness(600.0, 3600.0)
    word, record = keeper.claim(1.0, claim("a"))
    assert word is not None and record is not None
    again = Word("a", False, writes=True)
    assert keeper.claim(1.1, claim("a")) == (again, None), "asked again while the disk is at it"
    keeper.failed("a", "disk full")
    word, _ = keeper.claim(1.2, claim("a"))
    assert word == Word("a", False, "disk full")


def test_what_may_have_run_is_forgotten_after_its_time_and_not_before() -> None:
    keeper = Witness(600.0, 3600.0)
    assert granted(keeper, claim("a"), 0.0)
    assert not granted(keeper, claim("b"), 600.0)
    assert granted(keeper, claim("b"), 601.0)
    keeper.settled(602.0, Settled("v", "c", "t", "b", True))
    assert not granted(keeper, claim("c"), 4000.0)
    assert granted(keeper, claim("c"), 4203.0)


def test_a_full_witness_abstains_and_forgets_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    assert MOST_CLAIMS >= 10_000
    monkeypatch.setattr(witness, "MOST_CLAIMS", 2)
    keeper = Witness(600.0, 3600.0)
    assert granted(keeper, claim("a", "v1")) and granted(keeper, claim("b", "v2"))
    word, _ = keeper.claim(1.0, claim("c", "v3"))
    assert word is not None and "kept already" in word.abstains
    assert not granted(keeper, claim("d", "v1"))


def test_a_log_that_is_none_is_told() -> None:
    with pytest.raises(WitnessError):
        Witness(1.0, 1.0).restore([b"\x93\x01"], 0.0)


@pytest.mark.parametrize(("answers", "verdict"), [
    ("gg", Verdict.GRANTED), ("gs", None), ("gss", Verdict.SHORT), ("o", Verdict.CONTESTED),
    ("ss", Verdict.SHORT), ("gsg", Verdict.GRANTED), ("ggo", Verdict.CONTESTED),
])  # fmt: skip
def test_a_poll_ends_with_a_majority_or_at_once_with_anothers_claim(
    answers: str, verdict: Verdict | None
) -> None:
    poll = Poll(claim("a"), ("x", "y", "z"))
    for who, answer in zip("xyz", answers, strict=False):
        other = claim("b") if answer == "o" else None
        assert poll.told(who, Word("a", answer == "g", "no" if answer == "s" else "", other))
    assert poll.verdict is verdict
    assert not poll.told("x", Word("a", True)), "each answers once"
    assert not poll.told("w", Word("a", True)), "who was not asked"


def test_a_slow_disk_is_waited_for_and_silence_is_not() -> None:
    poll = Poll(claim("a"), ("x", "y", "z"), until=0.4, last=3.0)
    assert not poll.told("x", Word("a", False, writes=True))
    assert poll.told("y", Word("a", True))
    poll.silent(0.4)
    assert (poll.verdict, poll.refused) == (None, {"z": "no answer"})
    assert poll.until == 3.0
    slow = Poll(claim("a"), ("x", "y", "z"), until=0.4, last=3.0)
    slow.told("x", Word("a", False, writes=True))
    slow.silent(0.4)
    assert slow.verdict is Verdict.SHORT, "two of three said nothing"
    assert poll.told("x", Word("a", True)) and poll.verdict is Verdict.GRANTED


def test_of_two_attempts_no_order_of_claims_losses_and_power_cuts_grants_both() -> None:
    """Two gateways, three witnesses: every order of their six claims, each witness's power gone before or
    after its record is durable, each answer lost or not, either gateway away from any point on."""
    stories = 0
    for order in {*itertools.permutations("aaabbb")}:
        for cuts in itertools.product(("no", "before", "after"), repeat=3):
            disks: list[list[bytes]] = [[], [], []]
            keepers = [Witness(600.0, 3600.0) for _ in range(3)]
            polls = {x: Poll(claim(x), ("0", "1", "2")) for x in "ab"}
            asked = {"a": 0, "b": 0}
            for who in order:
                at = asked[who]
                asked[who] += 1
                word, record = keepers[at].claim(1.0, claim(who))
                first = asked["a" if who == "b" else "b"] <= at
                if record is not None and not (first and cuts[at] == "before"):
                    disks[at].append(record)
                if (
                    first and cuts[at] != "no"
                ):  # its power goes: what was not durable is gone, and so is the word
                    keepers[at] = Witness(600.0, 3600.0)
                    keepers[at].restore(disks[at], 1.0)
                    continue
                keepers[at].durable(who)
                polls[who].told(str(at), word)
            stories += 1
            sent = [x for x in "ab" if len(polls[x].granted) >= 2 and polls[x].other is None]
            assert len(sent) <= 1, (order, cuts)
    assert stories == 20 * 27


# How a gateway comes back


def test_every_phase_and_event_stands_in_the_table_and_every_phase_ends() -> None:
    assert {*recovery.NEXT} == {*itertools.product(Phase, recovery.Event)}
    for start in Start:
        returns = Returns(0.0, 1)
        returns.tell(0.0, recovery.Event.READ)
        returns.start = start
        now = 0.0
        while returns.phase is not Phase.SERVICE:
            now += 0.25
            returns.tick(now)
            assert now < 25.0, f"{start}: stuck in {returns.phase}"
        steps = [x for x, _, _ in returns.history]
        assert steps[:4] == [Phase.STORE, Phase.PEERS, Phase.LIST, Phase.ATTEMPTS]
        assert (Phase.PAID in steps) == (start is Start.BLACKOUT)


def test_after_a_blackout_viewers_are_taken_in_order_and_others_told_when_to_come() -> None:
    returns = Returns(0.0, 1)
    for event in (recovery.Event.READ, recovery.Event.MET, recovery.Event.LISTED):
        returns.tell(0.0, event)
    returns.start = Start.BLACKOUT
    assert returns.away(0.1, True, 5.0) and returns.away(0.1, False, 5.0)
    returns.tell(0.2, recovery.Event.FOUND)
    assert returns.phase is Phase.RETURNING
    told = [returns.away(0.3, True, 5.0) for _ in range(50)]
    waits = [x[0] for x in told if x is not None]
    assert len(waits) == 50 and 0.2 <= min(waits) < max(waits) <= 2.0 and len({*waits}) > 40
    returns.returned(0.8)
    assert not returns.tick(1.4), "one came who had a session"
    assert returns.tick(1.6) and returns.phase is Phase.PAID
    assert returns.away(1.7, True, 5.0) is None and returns.away(1.7, False, 5.0) is not None
    assert returns.tick(2.5) and returns.phase is Phase.SERVICE
    assert returns.away(2.6, False, 5.0) is None


def test_an_own_restart_turns_nobody_away() -> None:
    returns = Returns(0.0, 1)
    for event in (recovery.Event.READ, recovery.Event.MET, recovery.Event.LISTED):
        returns.tell(0.0, event)
    for start in (Start.OWN, Start.PART, Start.FIRST, Start.WHOLE, Start.NEW_DISK):
        returns.start = start
        assert returns.away(0.1, True, 5.0) is None and returns.away(0.1, False, 5.0) is None
    returns.tell(0.2, recovery.Event.FOUND)
    assert returns.phase is Phase.SERVICE
    returns.tell(0.3, recovery.Event.SUPERSEDED)
    assert returns.away(0.4, False, 5.0) == (5.0, Phase.ASIDE.value)


@pytest.mark.parametrize(("boot", "behind", "ages", "hosts", "start"), [
    (1, 0, {"a": 1.0, "b": 2.0}, (0, 0), Start.FIRST),
    (1, 0, {}, (0, 0), Start.FIRST),
    (3, 0, {"a": 900.0, "b": 500.0}, (6, 0), Start.OWN),
    (3, 0, {"a": 900.0, "b": 2.0}, (6, 0), Start.PART),
    (3, 0, {"a": 1.0, "b": 2.0}, (6, 1), Start.WHOLE),
    (3, 0, {"a": 1.0, "b": 2.0}, (6, 6), Start.BLACKOUT),
    (3, 0, {"a": 1.0, "b": 2.0}, (0, 0), Start.BLACKOUT),
    (1, 7, {"a": 900.0}, (0, 0), Start.NEW_DISK),
    (3, 0, {}, (6, 6), Start.OWN),
])  # fmt: skip
def test_what_happened_is_told_from_boots_ages_and_hosts_runs(
    boot: int, behind: int, ages: dict[str, float], hosts: tuple[int, int], start: Start
) -> None:
    assert what_happened(boot, behind, ages, 1.0, hosts, Bounds()) is start


def test_the_tables_page_is_the_code() -> None:
    path = Path(__file__).parent.parent / "docs" / "fleet-tables.md"
    assert path.read_text() == tables.page(), "python -m otterglade.explore.tables > docs/fleet-tables.md"
    assert {*trust.TRUST} == {*itertools.product(trust.Thing, Start)}


def test_a_forgotten_disk_vouches_for_nothing_and_an_own_restart_for_all() -> None:
    kept = {x for x in trust.Thing if trust.keeps(x, Start.NEW_DISK)}
    assert kept == {trust.Thing.ATTEMPTS, trust.Thing.LIST, trust.Thing.BOOTS, trust.Thing.RUNS}
    assert all(trust.keeps(x, None) and trust.keeps(x, Start.OWN) for x in trust.Thing)
