"""Namespaces of the configuration's keys: which part of the product reads which keys.

| Key             | Value                                                      |
|-----------------|------------------------------------------------------------|
| `setting/PATH`  | one setting of the script, by its path, e.g. `setting/rules/order` |
| `host/ID`       | one entry of the host list                                 |
| `title/NAME`    | what is configured for one title                           |

A key outside of these is refused where it is proposed; a subscriber that meets a namespace it does not know
keeps the key without acting on it, so that an older program can carry a newer one's keys.
"""

from __future__ import annotations

from enum import Enum

from .revision import RevisionError


class Namespace(Enum):
    """The first part of a key, up to the slash that ends it."""

    SETTING = "setting/"
    HOST = "host/"
    TITLE = "title/"


def setting_key(path: str) -> str:
    """The key of a setting."""
    return Namespace.SETTING.value + path


def host_key(identity: str) -> str:
    """The key of an entry of the host list."""
    return Namespace.HOST.value + identity


def title_key(name: str) -> str:
    """The key of a title."""
    return Namespace.TITLE.value + name


def split_key(key: str) -> tuple[Namespace, str]:
    """The namespace of a key and the rest. Raises RevisionError for a key outside of every namespace."""
    for namespace in Namespace:
        rest = key.removeprefix(namespace.value)
        if rest and rest != key:
            return namespace, rest
    allowed = ", ".join(namespace.value + "…" for namespace in Namespace)
    raise RevisionError(f"key {key!r}; allowed: {allowed}")
