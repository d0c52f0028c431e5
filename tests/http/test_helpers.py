"""Tests of the HTTP helpers."""

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wigeonspan.common import ErrorKind, ExecutionState, WigeonspanError
from wigeonspan.http import make_client, post_message


class _Garbage(RequestHandler):
    def post(self, status):
        self.set_status(int(status))
        self.finish("garbage")


async def _post(path):
    sockets = bind_sockets(0, "127.0.0.1")
    port = sockets[0].getsockname()[1]
    server = HTTPServer(Application([(r"/(\d+)", _Garbage)]))
    if path == "unreachable":
        sockets[0].close()
    else:
        server.add_sockets(sockets)
    client = make_client(1)
    try:
        await post_message(client, f"http://127.0.0.1:{port}/{path}", {}, dict, 2.0)
    finally:
        server.stop()
        client.close()


@pytest.mark.parametrize("path", ["unreachable", "200", "500"])
def test_unreadable_response_is_an_unknown_outcome(path):
    """A refused connection or unreadable response must be reported as ``NO_QUORUM``.

    An uncaught error of the curl client ended the calling task.
    """
    with pytest.raises(WigeonspanError) as caught:
        asyncio.run(_post(path))
    assert caught.value.kind is ErrorKind.NO_QUORUM
    assert caught.value.ran is ExecutionState.UNKNOWN
