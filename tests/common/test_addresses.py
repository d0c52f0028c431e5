"""Addresses that other processes have sent."""

import pytest

from wigeonspan.common import split_address


def test_address_is_split_at_the_last_colon():
    """An IPv6 address has colons before the one of the port."""
    assert split_address("10.0.0.1:80") == ("10.0.0.1", 80)
    assert split_address("[::1]:65535") == ("[::1]", 65535)


@pytest.mark.parametrize(
    "port",
    ["", "0", "99999", "65536", "+80", "-1", "8080 ", "\u0663", "8_0", "9" * 5000],
)
def test_port_out_of_range_is_refused(port):
    """Such ports passed the check of the list and failed when work was sent."""
    with pytest.raises(ValueError, match="expected host:port"):
        split_address(f"10.0.0.1:{port}")


@pytest.mark.parametrize("host", ["", "a b", "a\r\nX: y", "h\u00f6", "\0", "a" * 300])
def test_host_that_no_header_can_carry_is_refused(host):
    """The address is copied into the header fields of requests."""
    with pytest.raises(ValueError, match="expected host:port"):
        split_address(f"{host}:80")
