"""HTTP helpers for the daemons.

They are apart from ``wigeonspan.common`` so that the cores and the command line load
neither tornado nor curl.
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
