"""Capacity: fits, kept points, and that the page says what the points say."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import numpy as np
import pytest

from benchmarks.capacity import page, points
from benchmarks.capacity.__main__ import EXIT_BAD_INPUT, main
from benchmarks.capacity.fit import CONFIDENCE, FitError, Form, fit
from benchmarks.capacity.model import MISSING, Metric, Reading
from benchmarks.capacity.roles import ROLES
from benchmarks.capacity.run import PLAYS
from benchmarks.capacity.size import USERS_SIZE
from benchmarks.common import roomy

ROOT = Path(__file__).resolve().parent.parent
LEAST_SIZES = 4
SIZES = (200, 800, 1600, 3200)
DRAWS = 400
NUMBER = r"-?[\d,]+(?:\.\d+)?(?:e[-+]\d+)?"
LINE = re.compile(rf"^({NUMBER}) \+ ({NUMBER})·n ")
POWER = re.compile(rf"^({NUMBER})·n\^({NUMBER}) ")
ROUNDING = 0.002
"""Relative: a figure is printed with four digits, what it is made of with six."""

METRICS = [y for x in ROLES for z in x.experiments for y in z.metrics]


def value_of(text: str) -> float:
    found = re.match(NUMBER, text)
    assert found is not None, text
    return float(found[0].replace(",", ""))


def page_rows() -> list[list[str]]:
    """The cells of every line of a role's table, as the page stands."""
    _, tables, _ = page.between(page.PAGE.read_text("utf-8"), page.PAGE)
    lines = [x.strip("| ").split(" | ") for x in tables.splitlines() if x.startswith("| ")]
    return [x for x in lines if len(x) == 11 and (LINE.match(x[2]) or POWER.match(x[2]))]


# The page


def test_the_page_says_what_the_kept_points_say() -> None:
    _, tables, _ = page.between(page.PAGE.read_text("utf-8"), page.PAGE)
    assert tables == page.tables()


def test_each_figure_of_the_page_follows_from_the_formula_of_its_row() -> None:
    rows = page_rows()
    assert len(rows) == sum(len(x.rows(USERS_SIZE)) for x in ROLES)
    for cells in rows:
        _, what, fitted, n, times, figure, limit, factor, *_ = cells
        place = value_of(n)
        if line := LINE.match(fitted):
            first, second = value_of(line[1]), value_of(line[2])
            terms, value = (first, second * place), first + second * place
        else:
            power = POWER.match(fitted)
            assert power is not None
            value = value_of(power[1]) * place ** value_of(power[2])
            terms = (value,)
        rounding = ROUNDING * max(abs(x) for x in terms) * value_of(times)
        assert value * value_of(times) == pytest.approx(value_of(figure), abs=rounding), what
        if limit != "-":
            over = value_of(figure) / value_of(limit)
            assert value_of(factor.strip("*")) == pytest.approx(over, rel=0.06), what
            assert factor.startswith("**") == (over > 1.0), what


def test_each_mechanism_of_the_page_is_there() -> None:
    for role in ROLES:
        for row in role.rows(USERS_SIZE):
            named = re.findall(r"`([\w/]+\.py)`", row.mechanism)
            assert named or MISSING in row.mechanism or row.mechanism == "the interpreter and its modules"
            assert all((ROOT / "otterglade" / x).is_file() for x in named), row.mechanism


def test_a_page_without_markers_is_refused_by_name(tmp_path: Path) -> None:
    bare = tmp_path / "bare.md"
    bare.write_text("# Capacity\n")
    with pytest.raises(page.PageError, match=r"bare\.md"):
        page.write(bare)
    assert bare.read_text() == "# Capacity\n"


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (1234567.0, "1,230,000"), (75000.0, "75,000"), (0.012345, "0.0123"), (9.999, "10.0"),
     (-2.5, "-2.50"), (float("inf"), "-"), (2.5e-7, "2.50e-07")],
)  # fmt: skip
def test_numbers_are_printed_with_three_digits(value: float, text: str) -> None:
    assert page.number(value) == text


# Kept points


def test_every_metric_was_measured_at_four_sizes_three_times_each() -> None:
    for metric in METRICS:
        series = points.load(metric)
        sizes = [x.size for x in series.points]
        assert len({*sizes}) >= LEAST_SIZES, metric.file_name
        assert min(sizes.count(x) for x in sizes) >= PLAYS, metric.file_name
        assert all(x.commit and x.machine.cores > 0 and x.taken for x in series.points), metric.file_name


def test_no_file_of_points_is_left_over() -> None:
    assert {x.name for x in points.FOLDER.glob("*.json")} == {x.file_name for x in METRICS}


def test_points_are_added_and_those_before_stay_as_they_are(tmp_path: Path) -> None:
    metric = Metric("role", "cost", "a cost", "s", "members")
    points.append((Reading(metric, 10, 1.5),), tmp_path)
    first = points.load(metric, tmp_path).points
    points.append((Reading(metric, 20, 2.5), Reading(metric, 30, 3.5)), tmp_path)
    found = points.load(metric, tmp_path).points
    assert found[:1] == first
    assert [(x.size, x.value) for x in found] == [(10, 1.5), (20, 2.5), (30, 3.5)]


def test_points_of_another_metric_or_unit_are_refused(tmp_path: Path) -> None:
    metric = Metric("role", "cost", "a cost", "s", "members")
    points.append((Reading(metric, 10, 1.5),), tmp_path)
    other = Metric("role", "cost", "a cost", "ms", "members")
    with pytest.raises(points.PointsError, match=r"role\.cost\.json"):
        points.load(other, tmp_path)


BAD = {
    "cut off": b'{"role": "membership", "poi',
    "no numbers": b"\xff\xfe",
    "a point without its commit": b"",
    "empty": b"",
}


@pytest.mark.parametrize("kind", BAD)
def test_a_bad_file_of_points_is_one_line_that_names_it_and_exit_2(
    kind: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "points"
    shutil.copytree(points.FOLDER, folder)
    bad = folder / METRICS[0].file_name
    data = BAD[kind]
    if kind == "a point without its commit":
        whole = msgspec.json.decode(bad.read_bytes())
        del whole["points"][0]["commit"]
        data = msgspec.json.encode(whole)
    bad.write_bytes(data)
    before = page.PAGE.read_bytes()
    for arguments in (["--page"], ["--role", METRICS[0].role, "--quick"]):
        assert main([*arguments, "--points", str(folder)]) == EXIT_BAD_INPUT
        told = capsys.readouterr()
        assert told.out == ""
        assert told.err.count("\n") == 1
        assert str(bad) in told.err
    assert page.PAGE.read_bytes() == before


def test_a_metric_that_was_not_measured_is_told_by_name(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["--page", "--points", str(tmp_path)]) == EXIT_BAD_INPUT
    first = ROLES[0].rows(USERS_SIZE)[0].metric
    assert first.file_name in capsys.readouterr().err


# Fits


def drawn(
    generator: np.random.Generator, curve: dict[int, float], noise: float
) -> tuple[list[int], list[float]]:
    """Three plays at each size, scattered in proportion."""
    sizes = [x for x in curve for _ in range(PLAYS)]
    return sizes, [float(curve[x] * (1.0 + noise * generator.standard_normal())) for x in sizes]


@pytest.mark.parametrize("noise", [0.02, 0.1])
def test_the_interval_of_a_line_covers_the_known_slope_and_value_as_often_as_it_says(noise: float) -> None:
    generator = np.random.default_rng(7)
    line = {x: 4.0 + 0.01 * x for x in SIZES}
    slopes = values = 0
    for _ in range(DRAWS):
        found = fit(*drawn(generator, line, noise))
        if found.form is not Form.LINEAR:
            continue
        slopes += found.slope.low <= 0.01 <= found.slope.high
        at = found.predict(2.0 * SIZES[-1])
        values += at.low <= 4.0 + 0.02 * SIZES[-1] <= at.high
    for covered in (slopes, values):
        assert abs(covered / DRAWS - CONFIDENCE) < 0.04


def test_a_power_law_is_named_and_its_interval_covers_the_known_exponent() -> None:
    generator = np.random.default_rng(7)
    curve = {x: 0.003 * x**1.6 for x in SIZES}
    covered = 0
    for _ in range(DRAWS):
        found = fit(*drawn(generator, curve, 0.03))
        assert found.form is Form.POWER
        covered += found.slope.low <= 1.6 <= found.slope.high
    assert abs(covered / DRAWS - CONFIDENCE) < 0.04


def test_exact_data_gives_the_line_itself_and_where_it_reaches_a_limit() -> None:
    found = fit(SIZES, [3.0 + 0.5 * x for x in SIZES])
    assert found.form is Form.LINEAR
    assert found.slope.value == pytest.approx(0.5)
    assert found.slope.high - found.slope.low < 1e-6
    assert found.predict(6400).value == pytest.approx(3203.0)
    assert found.size_at(1003.0) == pytest.approx(2000.0)
    assert found.largest == 3200


def test_a_cost_that_does_not_grow_reaches_no_limit() -> None:
    assert fit(SIZES, [5.0, 5.0, 5.0, 4.9]).size_at(10.0) == float("inf")


def test_zeros_are_fitted_by_a_line() -> None:
    found = fit((10, 20, 30, 40), [0.0, 0.0, 0.0, 0.0])
    assert (found.form, found.predict(100).value) == (Form.LINEAR, 0.0)


@pytest.mark.parametrize(("sizes", "values"), [((1, 2), (1.0, 2.0)), ((5, 5, 5), (1.0, 2.0, 3.0))])
def test_too_few_points_are_no_fit(sizes: tuple[int, ...], values: tuple[float, ...]) -> None:
    with pytest.raises(FitError):
        fit(sizes, values)


# Plays


def test_a_quick_play_of_a_cheap_role_runs_and_keeps_nothing() -> None:
    before = {x.name: x.read_bytes() for x in points.FOLDER.glob("*.json")}
    told = subprocess.run(
        (sys.executable, "-m", "benchmarks.capacity", "--role", "host_list", "--quick", "--json"),
        cwd=ROOT, capture_output=True, text=True, timeout=60.0, check=True,
    )  # fmt: skip
    readings = [msgspec.json.decode(x, type=Reading) for x in told.stdout.splitlines()]
    (experiment,) = next(x for x in ROLES if x.name == "host_list").experiments
    expected = {(x, y) for x in experiment.metrics for y in experiment.quick_sizes}
    assert {(x.metric, x.size) for x in readings} == expected
    assert all(x.value > 0 for x in readings if x.metric.name != "memory")
    assert {x.name: x.read_bytes() for x in points.FOLDER.glob("*.json")} == before


def test_the_layout_of_the_measurements_takes_what_a_stage_gives_to_a_script() -> None:
    text = roomy("fetch_gap = 600.0").script(
        "g0", "127.0.0.1:1", "s", "127.0.0.1:0", members=None, routing=""
    )
    assert "limits(fetch_gap = 600.0)" in text
