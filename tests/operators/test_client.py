from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import grpc
import pytest

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.operators._client import ControlUnreachable, OperatorClient
from wigeonspan.operators._status import error_metadata, status_code
from wigeonspan.operators.generated import wigeonspan_pb2 as pb
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc


class ScriptedHost(pb_grpc.OperatorsServicer):
    """Control host that gives the scripted responses in order and repeats the last."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []

    def Apply(self, request, context):
        self.requests.append(request)
        response = (
            self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        )
        if isinstance(response, pb.ApplyReply):
            return response
        if isinstance(response, grpc.StatusCode):
            context.abort(response, "broken")
        kind, leader = response
        # The message is not ASCII, so the metadata has to escape it.
        error = WigeonspanError(kind, "müde")
        context.set_trailing_metadata(error_metadata(error, leader))
        context.abort(status_code(kind), error.message)


@contextmanager
def run_hosts(*servicers):
    servers, addresses = [], []
    for servicer in servicers:
        server = grpc.server(ThreadPoolExecutor(2))
        pb_grpc.add_OperatorsServicer_to_server(servicer, server)
        addresses.append(f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}")
        server.start()
        servers.append(server)
    try:
        yield addresses
    finally:
        for server in servers:
            server.stop(None).wait()


class FakeClock:
    """Clock that advances only in pauses, so that no test waits for real time."""

    def __init__(self):
        self.time_s = 0.0

    def now(self):
        return self.time_s

    def pause(self, seconds):
        self.time_s += seconds


def make_client(addresses, timeout_s=10.0):
    clock = FakeClock()
    return OperatorClient(addresses, timeout_s, clock.now, clock.pause)


ACCEPTED_REPLY = pb.ApplyReply(kind=pb.OUTCOME_KIND_ACCEPTED, version=7)
REQUEST = pb.ApplyRequest(op_id="op1")


@pytest.mark.parametrize(
    "response",
    [
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.UNKNOWN,
        (ErrorKind.NO_QUORUM, ""),
        (ErrorKind.LEASE_EXPIRED, ""),
        (ErrorKind.INTERNAL, ""),
        (ErrorKind.NOT_LEADER, ""),
    ],
)
def test_change_is_resent_with_the_same_operation_id(response):
    """Guard against a retry with a new operation id, which makes a change twice."""
    first, second = ScriptedHost(response, ACCEPTED_REPLY), ScriptedHost(response)
    with run_hosts(first, second) as addresses:
        client = make_client(addresses)
        assert client.call("Apply", REQUEST) == ACCEPTED_REPLY
        client.close()
    sent = first.requests + second.requests
    assert len(sent) >= 3
    assert all(request == REQUEST for request in sent)


def test_redirect_is_followed_to_a_host_outside_the_list():
    """Guard against a client that cannot reach a leader missing from its addresses."""
    leader = ScriptedHost(ACCEPTED_REPLY)
    with run_hosts(leader) as [address]:
        other = ScriptedHost((ErrorKind.NOT_LEADER, address))
        with run_hosts(other) as addresses:
            client = make_client(addresses)
            assert client.call("Apply", REQUEST) == ACCEPTED_REPLY
            assert client.call("Apply", REQUEST) == ACCEPTED_REPLY
            client.close()
    assert (len(other.requests), len(leader.requests)) == (1, 2)


def test_redirect_loop_ends_as_unreachable():
    """Guard against an endless loop when two hosts name each other as the leader."""
    one, two = ScriptedHost(None), ScriptedHost(None)
    with run_hosts(one, two) as addresses:
        one.responses = [(ErrorKind.NOT_LEADER, addresses[1])]
        two.responses = [(ErrorKind.NOT_LEADER, addresses[0])]
        client = make_client(addresses, 1.0)
        with pytest.raises(ControlUnreachable, match="not_leader: müde"):
            client.call("Apply", REQUEST)
        client.close()
    assert len(one.requests) + len(two.requests) < 50


@pytest.mark.parametrize(
    "kind",
    [ErrorKind.BAD_REQUEST, ErrorKind.NOT_FOUND, ErrorKind.STORAGE_FULL],
)
def test_final_error_is_raised_at_once(kind):
    """Guard against retrying an invalid request until the time limit."""
    host = ScriptedHost((kind, ""))
    with run_hosts(host) as addresses:
        client = make_client(addresses)
        with pytest.raises(WigeonspanError, match="müde") as caught:
            client.call("Apply", REQUEST)
        client.close()
    assert caught.value.kind is kind
    assert len(host.requests) == 1


def test_no_host_is_unreachable():
    """Check that a closed port is reported as an unknown outcome, not as refused."""
    client = make_client(["127.0.0.1:1"], 1.0)
    with pytest.raises(ControlUnreachable, match="127.0.0.1:1: unavailable"):
        client.call("Apply", REQUEST)
    client.close()
