"""Reads a Starlark script of blocks into a checked `Config`.

Each block is a call with named fields (`site(...)`, `session_class(...)`); the script may compute them with
lists, comprehensions and functions. An error names file, line, field, what was found and what is allowed.
"""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import starlark

from ..core.fleet.messages import DatagramCodec
from ..core.tokens import TokenSigner
from . import schema

ONE: dict[str, type[schema.Block]] = {
    "site": schema.Site, "contract": schema.Contract, "gateway": schema.Gateway, "registry": schema.Registry,
    "reports": schema.Reports, "tokens": schema.Tokens, "limits": schema.Limits, "log": schema.Log,
    "peers": schema.Peers, "region": schema.Region,
    "distribution": schema.Distribution,
}  # fmt: skip
MANY: dict[str, type[schema.Block]] = {
    "session_class": schema.SessionClass, "title": schema.Title, "priority": schema.Priority,
    "route": schema.Route, "accept": schema.Accept,
}  # fmt: skip
HOST_SOURCES = ("registry", "distribution")
"""Blocks that say where hosts come from: a script has one of them."""
REQUIRED = ("site", "contract", "gateway", "reports")

PLACE = re.compile(r"^ *--> (.*):(\d+):\d+$", re.M)
MESSAGE = re.compile(r"^error: (?:\w+: )?(.*)$", re.M)
AT = re.compile(r" - at `\$\.?([^`]*)`$")


class ConfigError(ValueError):
    """A script that can't be used, told as FILE:LINE: what, with the field's name."""


def nearest(word: str, known: Iterable[str]) -> str:
    """A hint with the nearest known name, or the names there are."""
    names = sorted(known)
    close = difflib.get_close_matches(word, names, n=1, cutoff=0.5)
    return f"did you mean {close[0]}?" if close else f"known are {', '.join(names)}"


def block(word: str, kind: type[schema.Block], fields: dict[str, Any]) -> schema.Block:
    """One block from its fields. Raises ConfigError naming the field."""
    known = kind.__struct_fields__
    for name in fields:
        if name not in known:
            raise ConfigError(f"{word}.{name}: unknown field; {nearest(name, known)}")
    try:
        return msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        at = AT.search(text)
        if at is None:
            raise ConfigError(f"{word}: {text}") from error
        found: Any = fields
        for part in re.findall(r"[A-Za-z_]\w*|\d+", at[1]):
            found = found[int(part)] if part.isdigit() else found[part]
        allowed = text[: at.start()].removeprefix("Expected ")
        raise ConfigError(f"{word}.{at[1]}: found {found!r}; allowed: {allowed}") from error


Kinds = Mapping[str, type[schema.Block]]


class Collector:
    """The blocks of a script in the order of its calls."""

    def __init__(self, one: Kinds, many: Kinds) -> None:
        """`one`: blocks that come once at most; `many`: those that come as often as wanted."""
        self._one, self._many = one, many
        self.one: dict[str, schema.Block] = {}
        self.many: dict[str, list[schema.Block]] = {name: [] for name in many}
        self.names: set[tuple[str, str]] = set()

    def callable(self, word: str) -> Callable[..., None]:
        def take(*values: Any, **fields: Any) -> None:
            if values:
                raise ConfigError(f"{word}: fields are given by name, as {word}(name = ...)")
            if word in self._one:
                if word in self.one:
                    raise ConfigError(f"{word}: given twice; once is allowed")
                self._check_alone(word)
                self.one[word] = block(word, self._one[word], fields)
                return
            made = block(word, self._many[word], fields)
            name = getattr(made, "name", None)
            if name is not None and (word, name) in self.names:
                raise ConfigError(f"{word}.name: {name!r} given twice; once is allowed")
            self.names.add((word, name or ""))
            self.many[word].append(made)

        return take

    def _check_alone(self, word: str) -> None:
        """Raises ConfigError for a second block that hosts come from."""
        others = [x for x in HOST_SOURCES if x in self.one]
        if word in HOST_SOURCES and others:
            raise ConfigError(f"{word}: found with {others[0]}(...); allowed: one of the two")


def collect(text: str, file: str, one: Kinds, many: Kinds) -> Collector:
    """Run a script that may call these blocks, and give what it called. Raises ConfigError."""
    collector = Collector(one, many)
    module = starlark.Module()
    for word in (*one, *many):
        module.add_callable(word, collector.callable(word))
    try:
        starlark.eval(module, starlark.parse(file, text), starlark.Globals.standard())
    except starlark.StarlarkError as error:
        raise ConfigError(_placed(str(error), file, (*one, *many))) from error
    return collector


def text_of(path: Path) -> str:
    """A script's text. Raises ConfigError."""
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: can't be read: {error}") from error


def read(path: Path) -> schema.Config:
    """Read and check a script. Raises ConfigError."""
    return parse(text_of(path), str(path))


def parse(text: str, file: str = "script") -> schema.Config:
    """Check a script given as text. Raises ConfigError."""
    collector = collect(text, file, ONE, MANY)
    for word in REQUIRED:
        if word not in collector.one:
            raise ConfigError(f"{file}: {word}: missing; a block {word}(...) is due")
    _check_host_source(collector, file)
    for word, what in (("session_class", "classes"), ("title", "titles")):
        if not collector.many[word]:
            raise ConfigError(f"{file}: {what}: none; at least one {word}(...) is due")
    parts: dict[str, Any] = dict(collector.one)
    parts.setdefault("limits", schema.Limits())
    parts.setdefault("log", schema.Log())
    config = schema.Config(
        classes=tuple(collector.many["session_class"]),  # type: ignore[arg-type]
        titles=tuple(collector.many["title"]),  # type: ignore[arg-type]
        lanes=tuple(collector.many["priority"]),  # type: ignore[arg-type]
        routes=tuple(collector.many["route"]),  # type: ignore[arg-type]
        accepts=tuple(collector.many["accept"]),  # type: ignore[arg-type]
        **parts,
    )
    try:
        _check(config)
    except ValueError as error:
        raise ConfigError(f"{file}: {error}") from error
    return config


def _check_host_source(collector: Collector, file: str) -> None:
    """That hosts come from somewhere. Raises ConfigError."""
    if not any(word in collector.one for word in HOST_SOURCES):
        raise ConfigError(f"{file}: registry: missing; a block registry(...) or distribution(...) is due")


def _placed(text: str, file: str, words: Iterable[str]) -> str:
    """Starlark's report as FILE:LINE: message."""
    message, place = MESSAGE.search(text), PLACE.search(text)
    what = message[1] if message else text.strip().splitlines()[0]
    unknown = re.match(r"Variable `(\w+)` not found", what)
    if unknown:
        what = f"{unknown[1]}: unknown name; {nearest(unknown[1], words)}"
    return f"{place[1]}:{place[2]}: {what}" if place else f"{file}: {what}"


def address(text: str, field: str) -> tuple[str, int]:
    """host:port as a pair. Raises ValueError naming the field."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{field}: found {text!r}; allowed: host:port, port 0 to 65535")
    return host.strip("[]"), int(port)


def _check(config: schema.Config) -> None:
    """What no field can tell alone."""
    site, rungs = config.site, len(config.site.ladder)
    address(config.gateway.listen, "gateway.listen")
    if config.registry is not None:
        address(config.registry.address, "registry.address")
    if any(a >= b for a, b in zip(site.ladder, site.ladder[1:], strict=False)):
        raise ValueError(f"site.ladder: found {list(site.ladder)}; allowed: rates that rise")
    for title in config.titles:
        if title.home >= site.cells:
            raise ValueError(f"title {title.name}.home: found {title.home}; allowed: under site.cells")
        if title.holders > site.cells:
            raise ValueError(f"title {title.name}.holders: found {title.holders}; allowed: to site.cells")
    for terms in config.classes:
        top = rungs - 1 if terms.top is None else terms.top
        if terms.floor >= rungs or not terms.floor <= top < rungs:
            raise ValueError(
                f"session_class {terms.name}: floor {terms.floor} and top {top}; allowed: floor at or under"
                f" top, both on the ladder, 0 to {rungs - 1}"
            )
        if terms.patience <= config.limits.margin:
            raise ValueError(
                f"session_class {terms.name}.patience: found {terms.patience}; allowed: over limits.margin"
                f" ({config.limits.margin})"
            )
    token_keys(config)
    _check_distribution(config)
    _check_peers(config)
    _check_lanes(config.lanes)
    _check_routes(config)
    config.settings()


def _check_lanes(lanes: tuple[schema.Priority, ...]) -> None:
    """Shares that fit together, and one lane for everybody else, the last."""
    if len(lanes) > schema.MOST_LANES:
        raise ValueError(f"priority: found {len(lanes)} blocks; allowed: at most {schema.MOST_LANES}")
    for field in ("reserve", "least"):
        total = math.fsum(getattr(x, field) for x in lanes)
        if total > 1.0 + 1e-9:
            raise ValueError(f"priority.{field}: found {total:g} in all; allowed: at most 1")
    named: dict[str, str] = {}
    for n, lane in enumerate(lanes):
        last = n == len(lanes) - 1
        if last and lane.accounts:
            raise ValueError(
                f"priority {lane.name}.accounts: found {list(lane.accounts)}; allowed: none, as the last"
                " block takes everybody else"
            )
        if not last and not lane.accounts:
            raise ValueError(
                f"priority {lane.name}.accounts: found none; allowed: names and patterns, in all but the last"
            )
        for account in lane.accounts:
            if account in named:
                raise ValueError(
                    f"priority {lane.name}.accounts: found {account!r}, which {named[account]} has; allowed:"
                    " in one lane"
                )
            named[account] = lane.name


def _check_routes(config: schema.Config) -> None:
    """Rules of regions. That a rule names a title or a region that is nowhere is no error here: it is a
    conflict, which the scripts of all regions tell together."""
    region, classes = config.region, {x.name for x in config.classes}
    if region is None:
        if config.routes or config.accepts:
            word = f"route {config.routes[0].name}" if config.routes else "accept"
            raise ValueError(f"{word}: found no region(...); allowed: with one, whose rules these are")
        return
    for cell in region.cells:
        if cell >= config.site.cells:
            raise ValueError(f"region.cells: found {cell}; allowed: under site.cells ({config.site.cells})")
    if len(config.routes) > schema.MOST_ROUTES:
        raise ValueError(f"route: found {len(config.routes)} blocks; allowed: at most {schema.MOST_ROUTES}")
    if len(config.accepts) > schema.MOST_ROUTES:
        raise ValueError(f"accept: found {len(config.accepts)} blocks; allowed: at most {schema.MOST_ROUTES}")
    lists = [(f"route {x.name}", x.classes, x.regions) for x in config.routes]
    for word, named, regions in [*lists, *(("accept", x.classes, x.regions) for x in config.accepts)]:
        for name in named:
            if name not in classes:
                raise ValueError(f"{word}.classes: found {name!r}; allowed: {nearest(name, classes)}")
        if len(set(regions)) < len(regions):
            raise ValueError(f"{word}.regions: found {list(regions)}; allowed: each region once")


def _check_distribution(config: schema.Config) -> None:
    distribution = config.distribution
    if distribution is None:
        return
    if config.tokens is None:
        raise ValueError(
            "distribution: found no tokens(...); allowed: with keys, as what control machines say is signed"
            " with them"
        )
    for name, text in distribution.machines.items():
        address(text, f"distribution.machines.{name}")


def _check_peers(config: schema.Config) -> None:
    peers = config.peers
    if peers is None:
        return
    if config.tokens is None:
        raise ValueError(
            "peers: found no tokens(...); allowed: with keys, as peers' messages are signed with them"
        )
    address(peers.listen, "peers.listen")
    for name, text in peers.members.items():
        address(text, f"peers.members.{name}")
    if config.gateway.name not in peers.members:
        raise ValueError(f"peers.members: found no {config.gateway.name!r}, which is gateway.name")
    if len(peers.members) < peers.witnesses:
        raise ValueError(
            f"peers.witnesses: found {peers.witnesses}; allowed: at most the {len(peers.members)} members"
        )
    _check_voters(peers)


def _check_voters(peers: schema.Peers) -> None:
    """The voters of duties: a wrong set could have two majorities that share nobody."""
    for field, names in (("voters", peers.voters), ("voters_before", peers.voters_before)):
        if len(names) not in (0, 1, 3, 5) or len(set(names)) != len(names):
            raise ValueError(f"peers.{field}: found {list(names)}; allowed: 0, 1, 3 or 5 names, each once")
    for name in peers.voters:
        if name not in peers.members:
            raise ValueError(f"peers.voters: found {name!r}; allowed: {nearest(name, peers.members)}")
    if not peers.voters:
        if peers.voters_before or peers.voters_forced or peers.voters_number != 1:
            raise ValueError("peers.voters: found none; allowed: the set that the other voters_... are about")
        return
    if peers.voters_before and peers.voters_number < 2:
        raise ValueError("peers.voters_number: found 1 with voters_before; allowed: over that set's number")
    if peers.voters_before and peers.voters_forced:
        raise ValueError("peers.voters_forced: found with voters_before; allowed: one of the two")
    if peers.voters_forced and peers.voters_number < 2:
        raise ValueError("peers.voters_number: found 1 with voters_forced; allowed: over the last one")
    changed = set(peers.voters) ^ set(peers.voters_before)
    if peers.voters_before and len(changed) > 2:
        raise ValueError(
            f"peers.voters_before: found {sorted(changed)} changed; allowed: one voter replaced at a time, or"
            " two that come or go"
        )


def peer_seal(config: schema.Config) -> DatagramCodec:
    """What peers' messages are signed with. Raises ValueError naming the field."""
    assert config.tokens is not None, "checked"
    return DatagramCodec(_key_bytes(config.tokens), config.tokens.sign_with)


def signing_keys(config: schema.Config) -> tuple[dict[str, bytes], str]:
    """The keys by name, and the name of the one that signs. Raises ValueError naming the field."""
    assert config.tokens is not None, "checked"
    return _key_bytes(config.tokens), config.tokens.sign_with


def token_keys(config: schema.Config) -> TokenSigner | None:
    """The keys of the script, None where it names none. Raises ValueError naming the field."""
    if config.tokens is None:
        return None
    return TokenSigner(_key_bytes(config.tokens), config.tokens.sign_with)


def _key_bytes(tokens: schema.Tokens) -> dict[str, bytes]:
    """The keys by name. Raises ValueError naming the field."""
    keys = {}
    for name, text in tokens.keys.items():
        try:
            keys[name] = bytes.fromhex(text)
        except ValueError as error:
            raise ValueError(
                f"tokens.keys.{name}: found {len(text)} characters; allowed: hex digits"
            ) from error
    return keys
