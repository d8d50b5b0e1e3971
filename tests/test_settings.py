"""Settings by both ways: the simulator's path=value and nested JSON lead to equal ones."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from otterglade.core.settings import Pairs, paths, settings_of
from otterglade.node import config

from .platform import Platform, settings

WIRE = (
    "bounds.cancelling=true bounds.connect_timeout=250.0 bounds.idle_close=15000.0 bounds.max_attempts=3 "
    "bounds.max_retry_after=1000.0 bounds.probes=0 bounds.retry_after=1 classes.count=2 "
    "classes.0.goal_time=600.0 classes.0.group=all classes.0.idempotency=idempotent classes.0.points=1.0 "
    "classes.0.dedup_window=5000.0 classes.1.goal_time=600.0 classes.1.group=all "
    "classes.1.idempotency=at_most_once classes.1.points=2.0 classes.1.dedup_window=5000.0 "
    "contract.ask_within=10000.0 contract.cold=12000.0 contract.counted_over=5000.0 contract.extra_ratio=0.2 "
    "contract.fall=3000.0 contract.free_resends=3.0 contract.overload_factor=3.0 contract.start_capacity=0.4 "
    "contract.stop_sending_within=250.0 discovery=push family_info.cells=3 "
    "family_info.class_live=false,false "
    "family_info.class_scale=1.0,1.2 family_info.kind_slots=300 family_info.ladder_kb=200.0,350.0,580.0 "
    "family_info.ladder_worth=0.2,0.6,1.0 family_info.lowest_rung=0,1 family_info.rack_link_kb=368256.0 "
    "family_info.refuses_from=1.0 family_info.reports_every=0.0 family_info.seats=0,78 family_info.see=300.0 "
    "family_info.shared_adds=1.0 family_info.shelves=1 family_info.stall=7.0 family_info.switch_cost_s=0.2 "
    "family_info.top_by_class=2,2 family_info.weight_kb=2000.0 n_instances=1 over_share_worth=0.1 "
    "report.how=pull report.names=x0,x1 tariffs.moves=0.2 tariffs.probe=0.01 tenants.count=0 zone=0"
)


def test_both_ways_lead_to_equal_settings() -> None:
    by_wire = settings_of(Pairs(WIRE.split()))
    by_json = settings_of(Pairs(paths(json.loads(json.dumps(settings())))))
    assert by_wire == by_json
    assert by_json.classes[1].seats == 78 and by_json.classes[1].floor == 1 and by_json.max_retry_after == 1.0


def test_lists_of_objects_are_counted_and_lists_of_values_joined() -> None:
    given = {"a": {"b": [1, 2.5, True, None]}, "c": [{"d": "x"}, {"d": None}], "e": [], "f": False}
    assert list(paths(given)) == ["a.b=1,2.5,true,-", "c.count=2", "c.0.d=x", "c.1.d=-", "e=", "f=false"]


def test_known_events_are_applied_in_order(tmp_path: Path) -> None:
    p = Platform(tmp_path)
    p.names.close()
    value = p.config() | {"listen": "127.0.0.1:1"}

    def event(offset: int, name: str, state: str, weight: float) -> dict[str, object]:
        one = {"cell": 1, "hostPort": "127.0.0.1:9", "instanceId": name, "lifecycle": state,
               "machineType": "std", "startedAtMs": 7, "weight": weight, "zone": "east"}  # fmt: skip
        return {"offset": offset, "topology": {"generation": offset, "reset": False, "instances": [one]}}

    value["known"] = {"offset": 9, "batch": [
        event(1, "a", "active", 1.0), event(2, "b", "active", 1.0), event(3, "a", "leaving", 2.0),
        event(4, "b", "left", 1.0),
    ]}  # fmt: skip
    found = config.read(value)
    assert found.serial == 9
    assert [(x.name, x.draining, x.weight, x.started) for x in found.hosts] == [("a", True, 2.0, 7.0)]


@pytest.mark.parametrize("text", ["", "1.2.3.4", ":5080", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3.4:x", None])
def test_an_address_that_is_none_names_its_field(text: str | None) -> None:
    with pytest.raises(config.ConfigError, match="listen"):
        config.address(text, "listen")
