"""The longest tests first, so that what runs beside them fills the time; known red ones must fail."""

from __future__ import annotations

import pytest

from .known_red import KnownRed


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config), "known_red")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=lambda item: item.get_closest_marker("long") is None)  # stable: else as they stand
