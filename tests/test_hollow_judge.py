"""The judge of hollow fleets, on records made by hand; and what a fleet is made of."""

from __future__ import annotations

import dataclasses
import itertools
from pathlib import Path

import pytest

from otterglade.core.distribution.revision import GENESIS, RevisionId
from otterglade.lab.hollow.changes import HOSTS, host_change, initial_changes, timed_changes
from otterglade.lab.hollow.faults import FaultKind, draw_faults
from otterglade.lab.hollow.judge import (
    LATE_SECONDS,
    Evidence,
    Outage,
    SentChange,
    highest_rate,
    judge,
    percentile,
)
from otterglade.lab.hollow.layout import Layout, LayoutError, zones
from otterglade.lab.hollow.records import Applied, AppliedLog, RecordsError, Traffic, read_applied

ROOT, OTHER_ROOT = b"r" * 8, b"x" * 8
FIRST, SECOND, THIRD = RevisionId(1, 1), RevisionId(1, 2), RevisionId(2, 3)
ZONE = "zone-0-0"


def evidence(changes: list[SentChange], entries: list[Applied], outages: tuple[Outage, ...] = ()) -> Evidence:
    """Of one gateway, with all three revisions accepted."""
    accepted = {FIRST: ROOT + b"more", SECOND: ROOT, THIRD: ROOT}
    return Evidence(changes, {0: ZONE}, {0: entries}, accepted, outages)


def applied(revision: RevisionId, at: float, root: bytes = ROOT) -> Applied:
    return Applied(0, revision, root, at)


def test_a_change_in_force_in_time_is_sound() -> None:
    verdict = judge(evidence([SentChange("a", 10.0, FIRST)], [applied(GENESIS, 1.0), applied(FIRST, 10.5)]))
    assert verdict.sound
    assert list(verdict.delays) == [0.5]
    assert verdict.unverified == 0


def test_a_later_revision_brings_a_superseded_change_into_force() -> None:
    changes = [SentChange("a", 10.0, FIRST), SentChange("b", 11.0, SECOND)]
    verdict = judge(evidence(changes, [applied(SECOND, 13.0)]))
    assert verdict.sound
    assert list(verdict.delays) == [3.0, 2.0]


def test_a_change_exactly_at_the_limit_is_not_late_and_one_after_it_is() -> None:
    changes = [SentChange("a", 10.0, FIRST)]
    assert judge(evidence(changes, [applied(FIRST, 10.0 + LATE_SECONDS)])).late == 0
    assert judge(evidence(changes, [applied(FIRST, 10.1 + LATE_SECONDS)])).late == 1


def test_a_change_that_never_comes_into_force_is_late() -> None:
    changes = [SentChange("a", 10.0, FIRST), SentChange("b", 11.0, SECOND)]
    verdict = judge(evidence(changes, [applied(FIRST, 10.5)]))
    assert (verdict.late, verdict.late_at_gateways) == (1, 1)


def test_a_gateway_without_records_is_late_with_every_change() -> None:
    changes = [SentChange("a", 10.0, FIRST), SentChange("b", 11.0, SECOND)]
    assert judge(evidence(changes, [])).late == 2


def test_a_change_that_nobody_accepts_is_late() -> None:
    assert judge(evidence([SentChange("a", 10.0, None)], [applied(FIRST, 10.5)])).late == 1


def test_a_change_is_late_once_however_many_gateways_miss_it() -> None:
    found = evidence([SentChange("a", 10.0, FIRST)], [])
    found = dataclasses.replace(found, gateway_zones={0: ZONE, 1: ZONE})
    verdict = judge(found)
    assert (verdict.late, verdict.late_at_gateways) == (1, 2)


def test_an_older_revision_after_a_newer_is_stale() -> None:
    verdict = judge(evidence([], [applied(SECOND, 1.0), applied(FIRST, 2.0), applied(THIRD, 3.0)]))
    assert verdict.stale == 1
    assert not verdict.sound


def test_a_revision_of_a_lower_term_is_older_whatever_its_number() -> None:
    verdict = judge(evidence([], [applied(THIRD, 1.0), applied(RevisionId(1, 9), 2.0)]))
    assert verdict.stale == 1


def test_another_content_than_accepted_is_stale() -> None:
    assert judge(evidence([], [applied(FIRST, 1.0, OTHER_ROOT)])).stale == 1


def test_a_revision_in_the_place_of_an_accepted_one_is_stale() -> None:
    assert judge(evidence([], [applied(RevisionId(1, 3), 1.0)])).stale == 1


def test_an_unknown_revision_is_counted_as_not_verified() -> None:
    verdict = judge(evidence([], [applied(RevisionId(2, 4), 1.0)]))
    assert (verdict.stale, verdict.unverified) == (0, 1)


def test_the_same_revision_again_is_not_stale() -> None:
    assert judge(evidence([], [applied(FIRST, 1.0), applied(FIRST, 2.0)])).stale == 0


def test_an_outage_of_the_zone_defers_the_limit_to_its_end() -> None:
    outage = Outage("cut_zone", 9.0, 40.0, ZONE)
    changes = [SentChange("a", 10.0, FIRST)]
    assert judge(evidence(changes, [applied(FIRST, 40.0 + LATE_SECONDS)], (outage,))).late == 0
    assert judge(evidence(changes, [applied(FIRST, 40.1 + LATE_SECONDS)], (outage,))).late == 1
    assert judge(evidence(changes, [applied(FIRST, 41.0)])).late == 1


def test_an_outage_of_another_zone_defers_nothing() -> None:
    outage = Outage("cut_zone", 9.0, 40.0, "zone-1-0")
    assert judge(evidence([SentChange("a", 10.0, FIRST)], [applied(FIRST, 41.0)], (outage,))).late == 1


def test_an_outage_that_begins_once_the_change_is_late_defers_nothing() -> None:
    outage = Outage("cut_zone", 29.0, 60.0, ZONE)
    assert judge(evidence([SentChange("a", 10.0, FIRST)], [applied(FIRST, 61.0)], (outage,))).late == 1


def test_an_outage_after_the_change_is_in_force_changes_no_delay() -> None:
    outage = Outage("cut_zone", 12.0, 40.0, ZONE)
    verdict = judge(evidence([SentChange("a", 10.0, FIRST)], [applied(FIRST, 11.0)], (outage,)))
    assert list(verdict.counted_delays) == [1.0]


def test_the_last_of_several_outages_counts() -> None:
    outages = (Outage("kill_writer", 11.0, 11.0, None), Outage("cut_zone", 20.0, 50.0, ZONE))
    verdict = judge(evidence([SentChange("a", 10.0, FIRST)], [applied(FIRST, 52.0)], outages))
    assert verdict.late == 0
    assert list(verdict.counted_delays) == [2.0]
    assert list(verdict.delays) == [42.0]


def test_percentiles_and_highest_rates() -> None:
    values = [float(x) for x in range(100)]
    assert percentile(values, 0.5) == 50.0
    assert percentile(values, 0.99) == 99.0
    assert percentile([], 0.5) is None
    assert highest_rate([0, 0, 100, 100, 0], window=2) == 100.0
    assert highest_rate([30], window=10) == 30.0
    assert highest_rate([]) == 0.0


def test_records_come_back_from_the_disk_as_they_were(tmp_path: Path) -> None:
    log = AppliedLog()
    entries = [Applied(3, FIRST, ROOT, 1.5), Applied(4, THIRD, OTHER_ROOT, 2.5)]
    for entry in entries:
        log.add(entry)
    log.write(tmp_path / "applied")
    assert list(read_applied(tmp_path / "applied")) == entries


def test_records_are_bounded_and_say_what_was_lost(tmp_path: Path) -> None:
    log = AppliedLog(most=2)
    for at in (1.0, 2.0, 3.0):
        log.add(applied(FIRST, at))
    log.write(tmp_path / "applied")
    assert log.lost == 1
    assert len(list(read_applied(tmp_path / "applied"))) == 2


def test_damaged_records_are_refused(tmp_path: Path) -> None:
    (tmp_path / "applied").write_bytes(b"x" * 33)
    with pytest.raises(RecordsError, match="33 bytes"):
        list(read_applied(tmp_path / "applied"))


def test_traffic_is_counted_by_seconds() -> None:
    traffic = Traffic(began=100.0)
    traffic.add(100.2, 10)
    traffic.add(102.9, 5)
    traffic.add(102.1, 7)
    assert traffic.seconds() == [10, 0, 12]


def test_layout_spreads_over_zones_and_regions() -> None:
    layout = Layout(gateways=3_200, relays=36, seconds=600.0, seed=1)
    assert len(zones()) == 14
    assert len({x.region for x in zones()}) == 5
    assert layout.voters == 5
    voters = [x for x in layout.machines() if x.voter]
    assert len({x.zone.region for x in voters}) == 5
    assert [len(x) for x in layout.groups()] == [200] * 16
    assert len({x.zone for x in layout.all_gateways()}) == 14


def test_a_small_layout_has_three_voters() -> None:
    layout = Layout(gateways=200, relays=4, seconds=15.0, seed=1)
    assert sum(x.voter for x in layout.machines()) == 3


def test_too_few_relays_are_refused() -> None:
    with pytest.raises(LayoutError, match="relays: found 2"):
        Layout(gateways=10, relays=2, seconds=15.0, seed=1)


def test_changes_are_the_same_for_the_same_seed_and_near_the_rate() -> None:
    changes = list(timed_changes(7, 114_000, 600.0))
    assert changes == list(timed_changes(7, 114_000, 600.0))
    assert changes != list(timed_changes(8, 114_000, 600.0))
    assert 650 < len(changes) < 950  # 792 expected
    assert all(x.after < y.after for x, y in itertools.pairwise(changes))


def test_no_change_sets_a_key_to_its_value() -> None:
    values = {x.key: x.value for x in initial_changes()}
    for timed in timed_changes(7, 114_000, 600.0):
        assert values[timed.change.key] != timed.change.value
        values[timed.change.key] = timed.change.value


def test_a_host_entry_has_the_size_of_a_real_one() -> None:
    sizes = [
        len(x.key) + len(x.value or b"") for x in (host_change(n, "draining", 500) for n in range(HOSTS))
    ]
    assert 85 <= sum(sizes) / len(sizes) <= 105


def test_faults_come_one_after_another_within_the_run() -> None:
    layout = Layout(gateways=100, relays=36, seconds=120.0, seed=3, faults=True)
    faults = draw_faults(layout)
    assert faults == draw_faults(layout)
    assert {x.kind for x in faults} == set(FaultKind)
    assert all(x.until <= y.after for x, y in itertools.pairwise(faults))
    assert faults[-1].until <= layout.seconds
    cut = next(x for x in faults if x.kind is FaultKind.CUT_ZONE)
    assert cut.subject not in {x.zone.name for x in layout.machines() if x.voter}
    assert cut.seconds == 30.0


def test_a_run_too_short_for_faults_is_refused() -> None:
    with pytest.raises(LayoutError, match="seconds: found 30"):
        draw_faults(Layout(gateways=100, relays=36, seconds=30.0, seed=3, faults=True))
