"""The durable identity of a gateway: its boot number, and what it knew of peers and hosts.

The boot number counts the starts under one name; peers ignore messages of an earlier boot than the latest
known one.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from ..store.small import replace_file


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of the file `identity` in `state_dir`, as JSON."""

    boot: int = 0
    """Number of starts so far; a new one is used only once it is durable."""
    forgetful: bool = False
    """Peers knew a later boot number than the disk did: claims that this gateway witnessed may be lost."""
    others: dict[str, int] = {}
    """Highest known boot number of each other gateway, by name."""
    hosts: dict[Annotated[str, msgspec.Meta(pattern="^[0-9]{1,10}$")], str] = {}
    """Run identifier of each media host, by host number."""


class IdentityError(ValueError):
    """The identity file is invalid."""


def load(folder: Path) -> Identity:
    """Read the identity of the last run; a new one if there is no file. Raises IdentityError, OSError."""
    path = folder / "identity"
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        return Identity()
    except msgspec.MsgspecError as error:
        raise IdentityError(f"{path}: {error}") from error


def save(folder: Path, identity: Identity) -> None:
    """Replace the stored identity; it is durable on return. Raises OSError."""
    replace_file(folder / "identity", msgspec.json.encode(identity))
