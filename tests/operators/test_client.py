from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import grpc
import pytest

from wigeonspan.common import ErrorKind, WigeonspanError
from wigeonspan.operators._client import OperatorClient, Unreachable
from wigeonspan.operators._status import error_metadata, status_code
from wigeonspan.operators.generated import wigeonspan_pb2 as pb
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc


class Scripted(pb_grpc.OperatorsServicer):
    """Host that answers as its script says; the last step repeats."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []

    def Apply(self, request, context):
        self.requests.append(request)
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, pb.ApplyReply):
            return step
        if isinstance(step, grpc.StatusCode):
            context.abort(step, "broken")
        kind, leader = step
        error = WigeonspanError(kind, "müde")
        context.set_trailing_metadata(error_metadata(error, leader))
        context.abort(status_code(kind), error.message)


@contextmanager
def hosts(*scripted):
    servers, addresses = [], []
    for each in scripted:
        server = grpc.server(ThreadPoolExecutor(2))
        pb_grpc.add_OperatorsServicer_to_server(each, server)
        addresses.append(f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}")
        server.start()
        servers.append(server)
    try:
        yield addresses
    finally:
        for server in servers:
            server.stop(None).wait()


class Time:
    """Clock that only pauses move; no test waits for real time."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return self.at

    def pause(self, seconds):
        self.at += seconds


def make_client(addresses, timeout_s=10.0):
    time = Time()
    return OperatorClient(addresses, timeout_s, time.now, time.pause)


GOOD = pb.ApplyReply(kind=pb.OUTCOME_KIND_ACCEPTED, version=7)
REQUEST = pb.ApplyRequest(op_id="op1")


@pytest.mark.parametrize(
    "step",
    [
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.UNKNOWN,
        (ErrorKind.NO_QUORUM, ""),
        (ErrorKind.LEASE_EXPIRED, ""),
        (ErrorKind.INTERNAL, ""),
        (ErrorKind.NOT_LEADER, ""),
    ],
)
def test_change_is_resent_with_the_same_operation_id(step):
    """A resend with a fresh operation id made a change twice."""
    first, second = Scripted(step, GOOD), Scripted(step)
    with hosts(first, second) as addresses:
        client = make_client(addresses)
        assert client.call("Apply", REQUEST) == GOOD
        client.close()
    sent = first.requests + second.requests
    assert len(sent) >= 3
    assert all(request == REQUEST for request in sent)


def test_hint_is_followed_to_a_host_outside_the_list():
    """An operator who knew only one host could not reach a new leader."""
    leader = Scripted(GOOD)
    with hosts(leader) as [address]:
        other = Scripted((ErrorKind.NOT_LEADER, address))
        with hosts(other) as addresses:
            client = make_client(addresses)
            assert client.call("Apply", REQUEST) == GOOD
            assert client.call("Apply", REQUEST) == GOOD
            client.close()
    assert (len(other.requests), len(leader.requests)) == (1, 2)


def test_hints_in_a_circle_end_as_unreachable():
    """Two hosts that each took the other for the leader kept a client busy for ever."""
    one, two = Scripted(None), Scripted(None)
    with hosts(one, two) as addresses:
        one.script = [(ErrorKind.NOT_LEADER, addresses[1])]
        two.script = [(ErrorKind.NOT_LEADER, addresses[0])]
        client = make_client(addresses, 1.0)
        with pytest.raises(Unreachable, match="not_leader: müde"):
            client.call("Apply", REQUEST)
        client.close()
    assert len(one.requests) + len(two.requests) < 50


@pytest.mark.parametrize(
    "kind",
    [ErrorKind.BAD_REQUEST, ErrorKind.NOT_FOUND, ErrorKind.STORAGE_FULL],
)
def test_final_error_is_raised_at_once(kind):
    """A wrong request was sent again until the time was over."""
    host = Scripted((kind, ""))
    with hosts(host) as addresses:
        client = make_client(addresses)
        with pytest.raises(WigeonspanError, match="müde") as caught:
            client.call("Apply", REQUEST)
        client.close()
    assert caught.value.kind is kind
    assert len(host.requests) == 1


def test_no_host_is_unreachable():
    """A closed port must end as unknown, not as refused."""
    client = make_client(["127.0.0.1:1"], 1.0)
    with pytest.raises(Unreachable, match="127.0.0.1:1: unavailable"):
        client.call("Apply", REQUEST)
    client.close()
