"""Keys must not be shown by what holds them."""

import pytest

from wigeonspan.common import TenantName
from wigeonspan.fleetconfig import ApiKey, FleetConfig, StoredConfig, TenantSpec
from wigeonspan.gateway import HiddenHeaders
from wigeonspan.tenants import KeyTable

KEY = ApiKey("secret-key")
TENANT = TenantSpec(TenantName("a"), (KEY,))


@pytest.mark.parametrize(
    "holder",
    [
        KEY,
        TENANT,
        FleetConfig(1, (), (), tenants=(TENANT,)),
        StoredConfig(1, b'{"tenants":[{"name":"a","api_keys":["secret-key"]}]}'),
        HiddenHeaders((("Authorization", "Bearer secret-key"),)),
        KeyTable([TENANT]),
    ],
)
def test_representation_shows_no_key(holder):
    """A configuration in an error or a traceback showed every key of its tenants."""
    shown = [repr(holder), str(holder), f"{holder}"]
    if hasattr(holder, "__rich_repr__"):
        shown.append(repr(list(holder.__rich_repr__())))
    assert all("secret-key" not in text for text in shown)
    assert "secret-key" not in repr(vars(holder) if hasattr(holder, "__dict__") else "")
