"""The host list as revisions carry it: one key `host/ID` for each host, its value the registry's JSON."""

from __future__ import annotations

from collections.abc import Sequence

from ...core.distribution.namespaces import Namespace, host_key
from ...core.distribution.revision import Change, RevisionId, Snapshot
from ...core.distribution.subscriber import Content
from ..fleet import HostList, HostListError, ListedHost, decode_host


def is_host(change: Change) -> bool:
    """Whether a change is one of the host list."""
    return change.key.startswith(Namespace.HOST.value)


def decode_entry(key: str, value: bytes) -> ListedHost:
    """The host of a key. Raises HostListError naming the key, and the field where one is wrong."""
    try:
        host = decode_host(value)
    except HostListError as error:
        raise HostListError(f"{key}: {error}") from error
    if key != host_key(str(host.id)):
        raise HostListError(f"{key}: id: found {host.id}; allowed: the number in the key")
    return host


def rejection_reason(changes: Sequence[Change]) -> str:
    """Why changes can't be applied: the first host entry that can't be read; empty: they can."""
    for change in changes:
        if change.value is None or not is_host(change):
            continue
        try:
            decode_entry(change.key, change.value)
        except HostListError as error:
            return str(error)
    return ""


def changes_of(content: Content) -> tuple[Change, ...]:
    """What a delta changes, or all that a snapshot holds."""
    return content.items if isinstance(content, Snapshot) else content.changes


class HostEntries:
    """The hosts of the revision in force, kept up change by change; belongs to one thread."""

    def __init__(self) -> None:
        self._hosts: dict[str, ListedHost] = {}
        """By key."""

    def apply(self, changes: Sequence[Change], whole: bool) -> bool:
        """Take over changes that were checked before; whether the host list is another one now."""
        hosts = {} if whole else dict(self._hosts)
        for change in filter(is_host, changes):
            if change.value is None:
                hosts.pop(change.key, None)
            else:
                hosts[change.key] = decode_entry(change.key, change.value)
        changed = hosts != self._hosts
        self._hosts = hosts
        return changed

    def listed(self, revision: RevisionId) -> HostList:
        """The whole list, numbered as the revision."""
        return HostList(index=revision.number, hosts=tuple(self._hosts.values()))
