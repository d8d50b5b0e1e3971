"""The README's example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_prints_what_the_readme_says(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    said = re.search(r"It prints\n\n((?:    .*\n)+)", text)
    assert code and said
    exec(compile(code[1], "README.md", "exec"), {})
    assert capsys.readouterr().out.split() == said[1].split()
