"""HTTP routes that open and close at-most-once calls."""

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from tests.controld.local_log import LocalLog
from wigeonspan.calls import (
    CallOutcome,
    CallState,
    CloseCall,
    CloseReply,
    OpenCall,
    OpenReply,
    OpenResult,
)
from wigeonspan.catalog import Member
from wigeonspan.common import ErrorKind, ManualClock, WigeonspanError, decode
from wigeonspan.controld._handlers import (
    CLOSE_CALL_PATH,
    OPEN_CALL_PATH,
    CallHandler,
)
from wigeonspan.controld._state import ControlState
from wigeonspan.http import make_client, post_message

OPEN = OpenCall("t", "loans", "k", "h", "entry-1", "n1", 90_000, wall_ms=7)
CLOSE = CloseCall(
    "t", "loans", "k", "n1", CallState.DONE, CallOutcome(201, "text/plain", b"\xff"), 7
)


def run(tmp_path, act):
    """Serve the call routes over an in-process log and run ``act`` as their client."""

    async def serve_and_act():
        clock = ManualClock(wall_ms=1_000)
        state = ControlState(tmp_path)
        log = LocalLog(state, clock)
        routes = [
            (OPEN_CALL_PATH, CallHandler, {"kind": OpenCall, "log": log}),
            (CLOSE_CALL_PATH, CallHandler, {"kind": CloseCall, "log": log}),
        ]
        for _, _, kwargs in routes:
            kwargs["clock"] = clock
        server = HTTPServer(Application(routes))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        client = make_client(4)

        async def post(path, message, reply):
            url = f"http://127.0.0.1:{port}{path}"
            return await post_message(client, url, message, reply, 5.0)

        try:
            await act(post, log, state)
        finally:
            server.stop()
            client.close()

    asyncio.run(serve_and_act())


def test_call_commands_get_the_leaders_time(tmp_path):
    """Commands must get the leader's time.

    An entry's clock once decided when an idempotency key expired.
    """

    async def act(post, log, state):
        reply = await post(OPEN_CALL_PATH, OPEN, OpenReply)
        assert reply.result is OpenResult.GRANTED
        reply = await post(CLOSE_CALL_PATH, CLOSE, CloseReply)
        assert reply.state is CallState.DONE
        again = await post(OPEN_CALL_PATH, OPEN, OpenReply)
        assert (again.result, again.outcome) == (OpenResult.DONE, CLOSE.outcome)
        sent = [decode(data, OpenCall | CloseCall) for _, data in log.commands]
        assert [command.wall_ms for command in sent] == [1_000] * 3

    run(tmp_path, act)


def test_response_body_is_not_in_the_record(tmp_path):
    """Response bodies are the tenant's data; auditors who read the record must not see
    them."""

    async def act(post, log, state):
        await post(OPEN_CALL_PATH, OPEN, OpenReply)
        await post(CLOSE_CALL_PATH, CLOSE, CloseReply)
        state.flush()

    run(tmp_path, act)
    text = next(tmp_path.glob("record-*.jsonl")).read_text()
    assert '"status":201' in text
    assert '"body"' not in text


@pytest.mark.parametrize("path", [OPEN_CALL_PATH, CLOSE_CALL_PATH])
def test_follower_returns_the_leaders_address(tmp_path, path):
    """A follower returns the leader's address.

    Without it, an entry couldn't find the leader and reported calls as unknown.
    """

    async def act(post, log, state):
        log.is_leader = False
        log.leader = Member("control-2", "127.0.0.1:2", "b", "d2", True)
        message = OPEN if path == OPEN_CALL_PATH else CLOSE
        with pytest.raises(WigeonspanError) as caught:
            await post(path, message, OpenReply)
        assert caught.value.kind is ErrorKind.NOT_LEADER
        assert caught.value.leader == "127.0.0.1:2"
        assert log.commands == []

    run(tmp_path, act)


def test_malformed_open_call_is_refused(tmp_path):
    """A malformed message is a bad request; it once caused an internal error."""

    async def act(post, log, state):
        with pytest.raises(WigeonspanError) as caught:
            await post(OPEN_CALL_PATH, {"type": "open_call"}, OpenReply)
        assert caught.value.kind is ErrorKind.BAD_REQUEST
        assert log.commands == []

    run(tmp_path, act)
