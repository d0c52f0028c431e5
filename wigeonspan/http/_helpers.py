"""Helpers over the tornado server and its curl client."""

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
"""Content type of messages."""

_log = part_logger("http")


def make_client(max_clients: int) -> CurlAsyncHTTPClient:
    """Return a curl client of its own.

    Parameters
    ----------
    max_clients : int
        Largest number of requests at once; more of them wait in the client.
    """
    return CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)


def use_fresh_connection(curl: pycurl.Curl) -> None:
    """Make a curl handle open a connection and close it after the request.

    curl sends a request again by itself when a reused connection was closed by the
    other end. A non-idempotent call must never be sent twice.
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
        Client to use.
    url : str
        Full URL.
    message : Any
        Message to encode as JSON.
    reply : type
        Type of the reply.
    timeout_s : float
        Longest time for the whole exchange in seconds.

    Returns
    -------
    T
        The reply.

    Raises
    ------
    WigeonspanError
        With the kind that the other process answered, or ``NO_QUORUM`` with an
        unknown outcome when there was no answer.
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
        # curl's own failures are raised even when error statuses are not.
        raise WigeonspanError(ErrorKind.NO_QUORUM, f"{url}: {error}") from error
    try:
        if response.code == 200:
            return decode(response.body, reply)
        detail = decode(response.body, ErrorBody).error
    except WigeonspanError as error:
        # An answer that cannot be read says nothing about what was done.
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
    """Base of the HTTP handlers: errors of the closed list become JSON answers."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with the error that ended the handler."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, WigeonspanError):
            error = _known_error(status_code, error)
        self.send_problem(error)

    def send_problem(self, error: WigeonspanError) -> None:
        """Answer with an error of the closed list."""
        self.set_status(error.status)
        self.set_header("Content-Type", JSON_TYPE)
        detail = error.body.error
        if detail.retry:
            self.set_header("Retry-After", str(max(1, round(detail.retry_after_s))))
        self.finish(encode(error.body))

    def send_message(self, message: Any) -> None:
        """Answer with a message."""
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(encode(message))

    def read_message(self, kind: type[T] | Any) -> T:
        """Return the checked body of a message from another process."""
        check_version(self.request.headers.get(VERSION_HEADER))
        check_json(self.request.headers)
        return decode(self.request.body, kind)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only errors that are faults of this process."""
        if isinstance(value, WigeonspanError) and value.kind is not ErrorKind.INTERNAL:
            return
        if isinstance(value, web.HTTPError) and value.status_code < 500:
            return
        _log.opt(exception=(typ, value, tb)).error("Handler failed.")


def check_json(headers: HTTPHeaders) -> None:
    """Check that a body is declared as JSON.

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


def _known_error(status: int, error: BaseException | None) -> WigeonspanError:
    if status == 404:
        return WigeonspanError(ErrorKind.UNKNOWN_ROUTE, "there is no such path")
    if status == 405:
        return WigeonspanError(ErrorKind.BAD_REQUEST, "this method is not allowed here")
    if status == 413:
        return WigeonspanError(ErrorKind.TOO_LARGE, "the request is too large")
    if 400 <= status < 500:
        return WigeonspanError(ErrorKind.BAD_REQUEST, str(error or status))
    return WigeonspanError(ErrorKind.INTERNAL, "the request failed inside the system")
