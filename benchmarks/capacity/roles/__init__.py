"""The roles of the fleet. A new role is one module with a `ROLE`, named in this list."""

from __future__ import annotations

from ..model import Role
from . import (
    catalogue,
    cold_hosts,
    distribution,
    duties,
    event_streams,
    host_list,
    membership,
    placement,
    recovery,
    registry,
    viewers,
    witnesses,
)

ROLES: tuple[Role, ...] = (
    membership.ROLE,
    host_list.ROLE,
    catalogue.ROLE,
    duties.ROLE,
    witnesses.ROLE,
    event_streams.ROLE,
    viewers.ROLE,
    placement.ROLE,
    registry.ROLE,
    distribution.ROLE,
    cold_hosts.ROLE,
    recovery.ROLE,
)
