"""Responses that end while their request is still being written, over loopback."""

import asyncio

import pytest

from tests.uploads import EarlyTarget, Ending
from wigeonspan.common import SystemClock
from wigeonspan.pool import ConnectionPool, ExchangeError, FailureKind, encode_request

# More than the kernel buffers of both sides hold.
UPLOAD = encode_request("POST", "/", [("Host", "h")], b"x" * 12_000_000)
OK = b"HTTP/1.1 200 OK\r\n"
PARTS = {
    "nothing": b"",
    "half a head": OK,
    "no length": OK + b"\r\n",
    "part without length": OK + b"\r\npart",
    "large part without length": OK + b"\r\n" + b"p" * 200_000,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\npart",
    "part of a length": OK + b"Content-Length: 400\r\n\r\npart",
    "chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
}


def fetch(data, ending, *, pause_s=0.03):
    """Return the status and body of a response, or the error of the exchange."""

    async def run():
        pool, target = (
            ConnectionPool(SystemClock()),
            EarlyTarget(data, ending, pause_s=pause_s),
        )
        target.listen()
        try:
            head, body = await pool.fetch(target.address, UPLOAD, 3.0)
            return head.status, body
        except ExchangeError as error:
            return error
        finally:
            pool.close()
            await target.close()

    return asyncio.run(run())


@pytest.mark.parametrize("pause_s", [0.0, 0.03])
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE])
@pytest.mark.parametrize("data", PARTS.values(), ids=PARTS)
def test_response_that_is_reset_during_the_upload_fails(data, ending, pause_s):
    """A writer that meets the reset first leaves an end of file for the reader."""
    failure = fetch(data, ending, pause_s=pause_s)
    assert isinstance(failure, ExchangeError), failure
    assert failure.kind is FailureKind.RESET and failure.sent


@pytest.mark.parametrize("name", PARTS)
def test_response_that_is_closed_during_the_upload(name):
    """Only an end of the connection after the head ends a response without length."""
    result = fetch(PARTS[name], Ending.HALF_CLOSE)
    if "length" in name and "part of" not in name or name == "HTTP/1.0":
        assert result == (200, PARTS[name].partition(b"\r\n\r\n")[2])
    else:
        assert isinstance(result, ExchangeError), result


@pytest.mark.parametrize("ending", Ending)
def test_whole_response_during_the_upload_is_delivered(ending):
    """A refusal of a long upload is complete when its length has arrived."""
    whole = b"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull"
    assert fetch(whole, ending) == (413, b"full")
