"""Tests of the validation of settings files."""

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
    """Building a struct field by field must keep its default values."""
    settings = load_settings(write(tmp_path, GOOD), Outer)
    assert settings == Outer("a", Inner(1), [Inner(2)], "INFO")


def test_all_faults_are_reported_at_once(tmp_path):
    """An operator can correct all faults of a file in one pass."""
    path = write(tmp_path, "name: 3\ninner: {prot: 1}\npeers: [{port: x}]\n")
    with pytest.raises(SettingsErrors) as caught:
        load_settings(path, Outer)
    keys = [fault.key for fault in caught.value.exceptions]
    assert keys == ["name", "inner.prot", "inner.port", "peers[0].port"]
    assert all(str(path) in line for line in str(caught.value).splitlines())


@pytest.mark.parametrize("text", ["", "[]", "a: [", "\x00", "name"])
def test_file_without_a_mapping_is_rejected(tmp_path, text):
    """Content that is not a mapping raises SettingsErrors and no other exception."""
    with pytest.raises(SettingsErrors):
        load_settings(write(tmp_path, text), Outer)


def test_missing_file_is_rejected(tmp_path):
    """A path that does not exist is reported like any other fault."""
    with pytest.raises(SettingsErrors):
        load_settings(tmp_path / "absent.yaml", Outer)


class Rates(Struct):
    name: str = "a"
    rate: float = 0.0
    count: int = 0


@pytest.mark.parametrize(
    "text",
    [
        "name: " + "[" * 5000 + "]" * 5000,
        "count: " + "9" * 5000,
        "name: 0x" + "f" * 5000,
        "name: 2026-99-99",
        "name: !!timestamp x",
        "name: !!int x",
        "name: !!float x",
        "rate: .nan",
        "rate: .inf",
        "rate: 1e999",
        'name: "\\ud800"',
        "&a [*a]",
    ],
)
def test_odd_value_is_a_fault_of_the_file(tmp_path, text):
    """The YAML reader raises errors of many types, and accepts values of no use."""
    with pytest.raises(SettingsErrors) as caught:
        load_settings(write(tmp_path, text), Rates)
    assert len(str(caught.value.exceptions[0])) < 1000
