"""Tenants of a deployment, and the keys by which their requests are recognised."""

from wigeonspan.tenants._access import (
    Access,
    Credential,
    KeyFault,
    authenticate,
    effective_priority,
    key_error,
)
from wigeonspan.tenants._freshness import ConfigFreshness
from wigeonspan.tenants._keys import KeyTable

__all__ = [
    "Access",
    "ConfigFreshness",
    "Credential",
    "KeyFault",
    "KeyTable",
    "authenticate",
    "effective_priority",
    "key_error",
]
