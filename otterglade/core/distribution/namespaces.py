"""Namespaces of configuration keys: they determine which part of the program reads a key.

| Key             | Value                                                      |
|-----------------|------------------------------------------------------------|
| `setting/PATH`  | one setting of the script, by its path, e.g. `setting/rules/order` |
| `host/ID`       | one entry of the host list                                 |
| `title/NAME`    | what is configured for one title                           |

A proposal with a key outside these namespaces is refused. A subscriber stores keys of an unknown namespace
without acting on them, so that an older program can carry the keys of a newer one.
"""

from __future__ import annotations

from enum import Enum

from .revision import RevisionError


class Namespace(Enum):
    """Prefix of a key, including the slash."""

    SETTING = "setting/"
    HOST = "host/"
    TITLE = "title/"


def setting_key(path: str) -> str:
    """Return the key of the setting at this path of the script."""
    return Namespace.SETTING.value + path


def host_key(identity: str) -> str:
    """Return the key of a host list entry."""
    return Namespace.HOST.value + identity


def title_key(name: str) -> str:
    """Return the key of a title's configuration."""
    return Namespace.TITLE.value + name


def split_key(key: str) -> tuple[Namespace, str]:
    """Split a key into its namespace and the rest. Raises RevisionError if it is in no namespace."""
    for namespace in Namespace:
        rest = key.removeprefix(namespace.value)
        if rest and rest != key:
            return namespace, rest
    allowed = ", ".join(namespace.value + "…" for namespace in Namespace)
    raise RevisionError(f"key {key!r}; allowed: {allowed}")
