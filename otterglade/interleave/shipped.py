"""The product's own modules, read from their files and run with the scheduler's primitives in place of the
interpreter's. The text is as it ships; the modules that the process uses are left alone.
"""

from __future__ import annotations

import ast
import builtins
import functools
import importlib
import types
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from . import controlled

ROOT = "otterglade"


class PlantError(Exception):
    """A planted fault whose place is not in the text, or is there more than once."""


@functools.cache
def source(name: str) -> tuple[str, str]:
    """A module's file and text; `name` is without the package's."""
    path = Path(__file__).parent.parent.joinpath(*name.split(".")).with_suffix(".py")
    return str(path), path.read_text(encoding="utf-8")


def written(text: str) -> frozenset[str]:
    """The attributes that a text stores to outside of `__init__`: what never changes once its object is made
    needs no point."""
    found: set[str] = set()

    def look(node: ast.AST) -> None:
        if isinstance(node, ast.FunctionDef) and node.name == "__init__":
            return
        if isinstance(node, ast.Attribute) and not isinstance(node.ctx, ast.Load):
            found.add(node.attr)
        for child in ast.iter_child_nodes(node):
            look(child)

    look(ast.parse(text))
    return frozenset(found)


class Shipped:
    """Modules of the product for one subject."""

    def __init__(
        self, stage: controlled.Stage, modules: Sequence[str], watched: Sequence[tuple[str, str]],
        edits: Mapping[str, Sequence[tuple[str, str]]] | None = None,
        others: Mapping[str, types.ModuleType] | None = None,
    ) -> None:  # fmt: skip
        """`modules`: those that are run under the scheduler, each after those that it imports. `watched`:
        module and class whose attributes are shared. `edits`: faults to plant, old and new text. `others`:
        what stands in for further modules, by name. Raises PlantError."""
        self.stage = stage
        self._swapped: dict[str, types.ModuleType] = {
            "threading": controlled.threading_of(stage), "queue": controlled.queue_of(stage),
            "time": controlled.time_of(stage), **(others or {}),
        }  # fmt: skip
        self._fresh: dict[str, types.ModuleType] = {
            x: y for x, y in self._swapped.items() if x.startswith(f"{ROOT}.")
        }
        self._builtins = {**vars(builtins), "__import__": self._import}
        texts = {x: _edited(x, (edits or {}).get(x, ())) for x in modules}
        stored = frozenset().union(*(written(x) for x in texts.values()))
        for name, text in texts.items():
            self._fresh[f"{ROOT}.{name}"] = self._made(name, text)
        containers = controlled.containers_of(stage)
        for name, cls in watched:
            controlled.watch(getattr(self.module(name), cls), stored, stage, containers)

    def module(self, name: str) -> Any:
        """The module under the scheduler, `name` without the package's."""
        return self._fresh[f"{ROOT}.{name}"]

    def _made(self, name: str, text: str) -> types.ModuleType:
        full = f"{ROOT}.{name}"
        importlib.import_module(full)  # dataclasses look their module up by its name
        module = types.ModuleType(full)
        path, _ = source(name)
        module.__dict__.update(
            {"__file__": path, "__package__": full.rpartition(".")[0], "__builtins__": self._builtins}
        )
        exec(compile(text, path, "exec"), module.__dict__)
        return module

    def _import(
        self, name: str, globals: Mapping[str, Any] | None = None, locals: Mapping[str, Any] | None = None,
        fromlist: Sequence[str] | None = (), level: int = 0,
    ) -> Any:  # fmt: skip
        if not level:
            return self._swapped.get(name) or __import__(name, globals, locals, fromlist or (), 0)
        package = str((globals or {}).get("__package__", ROOT)).split(".")
        base = ".".join([*package[: len(package) - level + 1], *([name] if name else [])])
        if base in self._fresh:
            return self._fresh[base]
        real = importlib.import_module(base)
        fresh = {x: y for x in fromlist or () if (y := self._fresh.get(f"{base}.{x}")) is not None}
        if not fresh:
            for item in fromlist or ():
                if not hasattr(real, item):
                    importlib.import_module(f"{base}.{item}")
            return real
        seen = types.ModuleType(base)
        for item in fromlist or ():
            seen.__dict__[item] = fresh[item] if item in fresh else getattr(real, item)
        return seen


def _edited(name: str, edits: Sequence[tuple[str, str]]) -> str:
    _, text = source(name)
    for old, new in edits:
        if text.count(old) != 1:
            raise PlantError(f"{name}: found {text.count(old)} times, allowed: once: {old!r}")
        text = text.replace(old, new)
    return text
