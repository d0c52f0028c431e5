"""Tests of lazily imported package members."""

import subprocess
import sys
from pathlib import Path

import pytest

from wigeonspan.common import load_on_use

ROOT = Path(__file__).parents[2]


def test_name_is_loaded_once_at_its_first_use():
    """The name resolves to the object of its private module."""
    load = load_on_use("wigeonspan.common", {"load_on_use": "_lazy"})
    assert load("load_on_use") is load_on_use


def test_unknown_name_is_an_attribute_error():
    """Tools such as pickle and pytest probe packages for names that do not exist."""
    load = load_on_use("wigeonspan.common", {})
    with pytest.raises(AttributeError, match="nothing_here"):
        load("nothing_here")


@pytest.mark.parametrize(
    "module", ["loguru", "yaml", "pycurl", "wigeonspan.coordinator", "tornado.web"]
)
def test_entry_does_not_load_what_control_hosts_need(module):
    """Importing modules that an entry never uses wastes memory and start-up time.

    It took half of the start-up time when 200 entries started together.
    """
    code = (
        "import sys; sys.path[:0] = ['.', 'platform']; import gateway;"
        f"sys.exit({module!r} in sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=30)
    assert done.returncode == 0
