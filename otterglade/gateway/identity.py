"""Which start of its name a gateway is: a count on disk, and the highest that it knows of others."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from ..store.small import replace_file


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """What `state_dir/identity` says."""

    boot: int = 0
    """Starts so far; used only once it is on disk."""
    forgetful: bool = False
    """Others knew a later start than the disk did: what this gateway witnessed may be forgotten."""
    others: dict[str, int] = {}
    """The highest boots of other gateways."""
    hosts: dict[Annotated[str, msgspec.Meta(pattern="^[0-9]{1,10}$")], str] = {}
    """The runs of hosts, by number."""


class IdentityError(ValueError):
    """A file that can't be read as one."""


def load(folder: Path) -> Identity:
    """What the last run left; nothing where there is none. Raises IdentityError, OSError."""
    path = folder / "identity"
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        return Identity()
    except msgspec.MsgspecError as error:
        raise IdentityError(f"{path}: {error}") from error


def save(folder: Path, identity: Identity) -> None:
    """Durable when this returns. Raises OSError."""
    replace_file(folder / "identity", msgspec.json.encode(identity))
