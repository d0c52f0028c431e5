"""Settings files are checked whole."""

import pytest
from msgspec import Struct

from wigeonspan.common import SettingsErrors, load_settings


class Inner(Struct):
    port: int


class Outer(Struct):
    name: str
    inner: Inner
    peers: list[Inner]
    level: str = "INFO"


GOOD = "name: a\ninner: {port: 1}\npeers: [{port: 2}]\n"


def write(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return path


def test_good_file_is_read(tmp_path):
    """Defaults were once lost when a struct was built field by field."""
    settings = load_settings(write(tmp_path, GOOD), Outer)
    assert settings == Outer("a", Inner(1), [Inner(2)], "INFO")


def test_all_faults_are_reported_at_once(tmp_path):
    """An operator must not have to correct a file one fault at a time."""
    path = write(tmp_path, "name: 3\ninner: {prot: 1}\npeers: [{port: x}]\n")
    with pytest.raises(SettingsErrors) as caught:
        load_settings(path, Outer)
    keys = [fault.key for fault in caught.value.exceptions]
    assert keys == ["name", "inner.prot", "inner.port", "peers[0].port"]
    assert all(str(path) in line for line in str(caught.value).splitlines())


@pytest.mark.parametrize("text", ["", "[]", "a: [", "\x00", "name"])
def test_file_that_is_no_mapping_is_refused(tmp_path, text):
    """A file of another shape must give a clear error, not a traceback."""
    with pytest.raises(SettingsErrors):
        load_settings(write(tmp_path, text), Outer)


def test_missing_file_is_refused(tmp_path):
    """A wrong path must be reported like any other fault."""
    with pytest.raises(SettingsErrors):
        load_settings(tmp_path / "absent.yaml", Outer)
