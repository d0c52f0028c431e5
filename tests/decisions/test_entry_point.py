"""Tests of the public package ``wigeonspan.decisions`` and its documentation page."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

import wigeonspan.decisions

PAGE = Path(__file__).parents[2] / "docs" / "decisions.md"


def blocks():
    """Return the examples of the page that run without other code."""
    found = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    return [block for block in found if "_samples" not in block]


@pytest.mark.parametrize("block", blocks())
def test_examples_run(block):
    """Users copy these examples; a renamed argument would break them unnoticed."""
    exec(compile(block, str(PAGE), "exec"), {})


def test_all_names_exist():
    """A stale name in ``__all__`` breaks ``from wigeonspan.decisions import *``."""
    for name in wigeonspan.decisions.__all__:
        assert hasattr(wigeonspan.decisions, name)


def test_import_loads_no_server():
    """The package must be usable without loading the servers of the daemons."""
    code = (
        "import sys, wigeonspan.decisions; "
        "assert not {'grpc', 'tornado.httpserver'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
