"""Decision whether a request may run, and for which tenant.

It answers revocation under load: keys are removed while callers keep connections open
and their requests wait, are repeated or are continued, so the decision is taken again
before each send, against the configuration then in force.
"""

from enum import Enum

from msgspec import Struct

from wigeonspan.common import ErrorKind, TenantName, WigeonspanError
from wigeonspan.fleetconfig import ApiKey, Route
from wigeonspan.tenants._keys import KeyTable


class KeyFault(Enum):
    """Why the key of a request is not valid."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    REVOKED = "revoked"


Credential = ApiKey | KeyFault
"""Key that a request carries, or why it carries none."""


class Access(Struct, frozen=True):
    """Result of the check of a request's key.

    Parameters
    ----------
    tenant : TenantName or None
        Tenant that holds the key; None on a public route without a valid key.
    priority : int
        Priority level of the request; 0 is the most urgent.
    """

    tenant: TenantName | None
    priority: int


def authenticate(
    keys: KeyTable, route: Route, credential: Credential
) -> Access | KeyFault:
    """Return the access of a request, or why its key is not valid.

    Parameters
    ----------
    keys : KeyTable
        Keys of the configuration in force.
    credential : ApiKey or KeyFault
        Key that the request carries.
    """
    tenant = keys.find(credential) if isinstance(credential, ApiKey) else None
    if tenant is not None:
        return Access(tenant.name, effective_priority(route, tenant.priority))
    if route.public:
        return Access(None, route.priority)
    return credential if isinstance(credential, KeyFault) else KeyFault.UNKNOWN


def effective_priority(route: Route, tenant_priority: int | None) -> int:
    """Return the priority level of a request: the tenant's, else the route's."""
    return route.priority if tenant_priority is None else tenant_priority


def key_error(fault: KeyFault) -> WigeonspanError:
    """Return the error for a request whose key is not valid; it names no key."""
    return WigeonspanError(ErrorKind.UNAUTHORIZED, f"the key is {fault.value}")
