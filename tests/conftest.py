"""The longest tests first, so that what runs beside them fills the time."""

from __future__ import annotations

import pytest


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=lambda item: item.get_closest_marker("long") is None)  # stable: else as they stand
