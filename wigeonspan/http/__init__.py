"""HTTP helpers for the daemons.

They are separate from ``wigeonspan.common`` so that the core modules and the command
line import neither tornado nor curl.
"""

from wigeonspan.http._helpers import (
    JSON_TYPE,
    JsonHandler,
    check_json,
    make_client,
    post_message,
    use_fresh_connection,
)

__all__ = [
    "JSON_TYPE",
    "JsonHandler",
    "check_json",
    "make_client",
    "post_message",
    "use_fresh_connection",
]
