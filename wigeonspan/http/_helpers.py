"""Helpers for the tornado server and its curl client."""

from typing import Any, TypeVar

import pycurl
from tornado import web
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httputil import HTTPHeaders

from wigeonspan.common._codec import (
    PROTOCOL_VERSION,
    VERSION_HEADER,
    check_version,
    decode,
    encode,
)
from wigeonspan.common._errors import ErrorBody, ErrorKind, WigeonspanError
from wigeonspan.common._logs import part_logger

T = TypeVar("T")

JSON_TYPE = "application/json"
"""Content type of the messages between processes and of JSON responses."""

_log = part_logger("http")


def make_client(max_clients: int) -> CurlAsyncHTTPClient:
    """Create a curl client that is not shared with other users.

    Parameters
    ----------
    max_clients : int
        Largest number of concurrent requests; further requests wait in the client.
    """
    return CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)


def use_fresh_connection(curl: pycurl.Curl) -> None:
    """Make a curl handle open a new connection and close it after the request.

    curl retries a request by itself when a reused connection was closed by the peer.
    A non-idempotent call must never be sent twice.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


async def post_message(
    client: CurlAsyncHTTPClient,
    url: str,
    message: Any,
    reply: type[T] | Any,
    timeout_s: float,
) -> T:
    """Send a message to another process of the system and return its reply.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client that sends the request.
    url : str
        Full URL.
    message : Any
        Message to encode as JSON.
    reply : type
        Type of the reply.
    timeout_s : float
        Longest time for the complete exchange in seconds.

    Returns
    -------
    T
        The reply.

    Raises
    ------
    WigeonspanError
        With the error kind in the response of the other process, or ``NO_QUORUM``
        with an unknown outcome when there was no readable response.
    """
    request = HTTPRequest(
        url,
        method="POST",
        headers={"Content-Type": JSON_TYPE, VERSION_HEADER: str(PROTOCOL_VERSION)},
        body=encode(message),
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPError) as error:
        # With raise_error=False, tornado still raises failures of curl itself.
        raise WigeonspanError(ErrorKind.NO_QUORUM, f"{url}: {error}") from error
    try:
        if response.code == 200:
            return decode(response.body, reply)
        detail = decode(response.body, ErrorBody).error
    except WigeonspanError as error:
        # An unreadable response does not show whether the message was applied.
        message = f"{url}: status {response.code}, {error.message}"
        raise WigeonspanError(ErrorKind.NO_QUORUM, message) from error
    raise WigeonspanError(
        detail.kind,
        detail.message,
        ran=detail.ran,
        retry_after_s=detail.retry_after_s,
        leader=detail.leader,
    )


class JsonHandler(web.RequestHandler):
    """Base class of the HTTP handlers that sends errors as JSON error bodies."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the error that ended the handler; tornado calls this method."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, WigeonspanError):
            error = _error_for_status(status_code, error)
        self.send_error_body(error)

    def send_error_body(self, error: WigeonspanError) -> None:
        """Send an error body with its status and, for a retry, ``Retry-After``."""
        self.set_status(error.status)
        self.set_header("Content-Type", JSON_TYPE)
        detail = error.body.error
        if detail.retry:
            self.set_header("Retry-After", str(max(1, round(detail.retry_after_s))))
        self.finish(encode(error.body))

    def send_message(self, message: Any) -> None:
        """Send a message as the JSON response."""
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(encode(message))

    def read_message(self, kind: type[T] | Any) -> T:
        """Check version and content type of a request and decode its message."""
        check_version(self.request.headers.get(VERSION_HEADER))
        check_json(self.request.headers)
        return decode(self.request.body, kind)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log an exception, except error responses without a fault of this process."""
        if isinstance(value, WigeonspanError) and value.kind is not ErrorKind.INTERNAL:
            return
        if isinstance(value, web.HTTPError) and value.status_code < 500:
            return
        _log.opt(exception=(typ, value, tb)).error("HTTP handler failed.")


def check_json(headers: HTTPHeaders) -> None:
    """Check that the content type of a request is JSON.

    Raises
    ------
    WigeonspanError
        ``UNSUPPORTED_MEDIA_TYPE`` otherwise.
    """
    value = headers.get("Content-Type", "")
    if value.split(";")[0].strip().lower() != JSON_TYPE:
        raise WigeonspanError(
            ErrorKind.UNSUPPORTED_MEDIA_TYPE,
            f"content type {value!r} is not {JSON_TYPE}",
        )


def _error_for_status(status: int, error: BaseException | None) -> WigeonspanError:
    """Return the error to send for an exception that has no error kind."""
    if status == 404:
        return WigeonspanError(ErrorKind.UNKNOWN_ROUTE, "there is no such path")
    if status == 405:
        return WigeonspanError(ErrorKind.BAD_REQUEST, "this method is not allowed here")
    if status == 413:
        return WigeonspanError(ErrorKind.TOO_LARGE, "the request is too large")
    if 400 <= status < 500:
        return WigeonspanError(ErrorKind.BAD_REQUEST, str(error or status))
    return WigeonspanError(ErrorKind.INTERNAL, "the request failed inside the system")
