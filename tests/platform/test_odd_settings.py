"""Settings files of the platform with values that cannot be used."""

import pytest
from adapter import coordinator_settings, gateway_settings, read_node_file
from adapter._node_file import NodeFileError

from tests.platform.test_adapter import NODE_FILE
from wigeonspan.serving import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB


def read(tmp_path, old, new):
    path = tmp_path / "node.conf"
    text = NODE_FILE.encode()
    assert old in text
    path.write_bytes(text.replace(old, new))
    return read_node_file(str(path))


NUMBERS = ["nan", "inf", "-inf", "-1", "1e999", "9" * 400, "9" * 5000, "\u0663", "1_0"]
FIELDS = {
    "fault_tolerance.machines": "2",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_min_retries": "56",
}


@pytest.mark.parametrize("value", [*NUMBERS, "", "1e12"])
@pytest.mark.parametrize("name", FIELDS)
def test_number_out_of_range_names_its_field(tmp_path, name, value):
    """Some were used, and others ended the start without the name of the field."""
    old, new = (f"{name}={v}".encode() for v in (FIELDS[name], value))
    with pytest.raises(NodeFileError, match=name) as caught:
        read(tmp_path, old, new)
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize(
    "ports",
    [
        "7380",
        "7380,7381,7382",
        "0,7395",
        "7380,65536",
        "7395,7380",
        "65535,65535",
        "\u0663,7395",
        "\xb2,7395",
        "+7380,7395",
        "9" * 5000 + ",7395",
        ",",
    ],
)
def test_ports_out_of_range_name_their_field(tmp_path, ports):
    """Such ports were only noticed when a socket was opened."""
    with pytest.raises(NodeFileError, match="internal_ports"):
        read(tmp_path, b"7380,7395", ports.encode())


@pytest.mark.parametrize("odd", ["nowhere", "x:99999", "x:\u0663", ":1", "a b:1", ""])
def test_odd_seed_does_not_cost_the_others(tmp_path, odd):
    """A seed that cannot be used became an address without a host."""
    seeds = f"{odd}, 10.2.0.36:8144 ".encode()
    node = read(tmp_path, b"10.1.0.33:8144,10.2.0.36:8144", seeds)
    assert gateway_settings(node).controls == ["10.2.0.36:7380"]
    assert coordinator_settings(node).seeds == ["10.2.0.36:7380"]


def test_seeds_that_cannot_be_used_name_their_field(tmp_path):
    """Without any seed a host would wait for the others forever."""
    with pytest.raises(NodeFileError, match="seeds"):
        read(tmp_path, b"10.1.0.33:8144,10.2.0.36:8144", b"x:99999,nowhere")


@pytest.mark.parametrize("address", ["10.0.0.1", "10.0.0.1:99999", ":80", "\xff"])
def test_list_address_that_cannot_be_used_names_its_field(tmp_path, address):
    """Without the list an entry has no targets, whatever it waits for."""
    with pytest.raises(NodeFileError, match="cloud.address"):
        read(tmp_path, b"10.200.0.100:8142", address.encode("latin-1"))


def test_bytes_that_are_not_utf_8_cost_only_their_field(tmp_path):
    """A field of a later version of the platform made the whole file unreadable."""
    node = read(tmp_path, b"tomorrow=1", b"tomorrow=\xff\xfe\0")
    assert node.domain == "szeged"
    with pytest.raises(NodeFileError, match="zone"):
        read(tmp_path, b"zone=szeged", b"zone=s\xff")


DUTIES = b"""cloud.duties=usage_report,autoscale
bounds.report_window_s=%s
bounds.usage_late_s=10
"""


@pytest.mark.parametrize("value", [b"0", b"0.0001", b"-5", b"nan", b""])
def test_window_without_a_length_names_its_field(tmp_path, value):
    """Heartbeats of every entry failed with a division by zero."""
    line = b"bounds.budget_window_s=10\n"
    with pytest.raises(NodeFileError, match=r"bounds\.report_window_s"):
        read(tmp_path, line, line + DUTIES % value)


@pytest.mark.parametrize("value", ["True", "1", "yes"])
def test_odd_switch_names_its_field(tmp_path, value):
    """An entry that should refuse without contact went on with old keys."""
    line = b"bounds.budget_window_s=10\n"
    switch = f"bounds.strict_revocation={value}\n".encode()
    with pytest.raises(NodeFileError, match=r"bounds\.strict_revocation"):
        read(tmp_path, line, line + switch)


@pytest.mark.parametrize("text, age_s", [("true", 5.0), ("false", None), ("", None)])
def test_strict_revocation_has_a_default_age(tmp_path, text, age_s):
    """The age of keys has a default on the page, so the switch alone is enough."""
    line = b"bounds.budget_window_s=10\n"
    switch = f"bounds.strict_revocation={text}\n".encode()
    assert read(tmp_path, line, line + switch).max_key_age_s == age_s


@pytest.mark.parametrize("name", ["limits.memory_mb", "limits.max_fds"])
@pytest.mark.parametrize("value", [*NUMBERS, "", "0", "0.5", "1e12"])
def test_size_of_a_machine_out_of_range_names_its_field(tmp_path, name, value):
    """A bound of nothing would refuse every caller."""
    line = f"\n{name}={value}\nzone=".encode()
    with pytest.raises(NodeFileError, match=name):
        read(tmp_path, b"\nzone=", line)


def test_size_of_a_machine_reaches_the_settings(tmp_path):
    """Bounds that do not follow the machine are too large for a small one."""
    lines = b"\nlimits.memory_mb=160.5\nlimits.max_fds=1638\nzone="
    node = read(tmp_path, b"\nzone=", lines)
    for settings in (gateway_settings(node), coordinator_settings(node)):
        assert (settings.memory_mb, settings.max_fds) == (160.5, 1638)


def test_settings_without_the_size_of_a_machine_are_read(tmp_path):
    """Older settings files do not name the memory and the descriptors."""
    settings = gateway_settings(read(tmp_path, b"\nzone=", b"\nzone="))
    assert settings.memory_mb == DEFAULT_MEMORY_MB
    assert settings.max_fds == DEFAULT_MAX_FDS
