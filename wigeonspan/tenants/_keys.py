"""Look-up of the tenant that holds a key, which takes the same time for all keys."""

import hmac
import secrets
from collections.abc import Iterable

from wigeonspan.fleetconfig import ApiKey, TenantSpec

DIGEST = "sha256"
"""Hash function of the keyed digests by which keys are compared."""


class KeyTable:
    """Index of the tenants of one configuration by keyed digests of their keys.

    A look-up compares digests under a random key of this process, so that its duration
    tells nothing about the keys.

    Parameters
    ----------
    tenants : iterable of TenantSpec
        Tenants of the configuration.
    """

    def __init__(self, tenants: Iterable[TenantSpec]) -> None:
        self._secret = secrets.token_bytes(32)
        self._tenants = {
            self._digest(key): tenant for tenant in tenants for key in tenant.api_keys
        }

    def find(self, key: ApiKey) -> TenantSpec | None:
        """Return the tenant that holds a key, or None."""
        return self._tenants.get(self._digest(key))

    def _digest(self, key: ApiKey) -> bytes:
        text = key.text.encode("utf-8", "surrogateescape")
        return hmac.digest(self._secret, text, DIGEST)
