import grpc
import pytest

from tests.operators.serving import LEADER, serving
from wigeonspan.common import ErrorBody, ErrorKind, ExecutionState, Term, decode
from wigeonspan.distribution import Distributor, SyncRequest
from wigeonspan.operators._status import ERROR_KEY, LEADER_KEY
from wigeonspan.operators.generated import wigeonspan_pb2 as pb
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc


@pytest.fixture
def service(tmp_path):
    with serving(tmp_path) as running:
        with grpc.insecure_channel(running.address) as channel:
            running.stub = pb_grpc.OperatorsStub(channel)
            yield running


def tenant(name="archive", **fields):
    value = pb.CatalogObject(tenant=pb.Tenant(name=name, **fields))
    return pb.Change(put_object=pb.PutObject(value=value))


def apply_request(**fields):
    given = {"op_id": "op1", "operator": "ana", "reason": "why", "change": tenant()}
    return pb.ApplyRequest(**{**given, **fields})


def expect_failure(call, request):
    """Make a call that must fail; return gRPC error, decoded error and metadata."""
    with pytest.raises(grpc.RpcError) as caught:
        call(request, timeout=10)
    metadata = dict(caught.value.trailing_metadata())
    return caught.value, decode(metadata[ERROR_KEY].encode(), ErrorBody).error, metadata


def test_apply_keeps_defaults_and_unset_fields(service):
    """Guard against an unset field being read as zero, such as a rate limit of 0."""
    request = apply_request(change=tenant(weight=2.5))
    reply = service.stub.Apply(request)
    assert (reply.kind, reply.version) == (pb.OUTCOME_KIND_ACCEPTED, 1)
    got = service.stub.Get(pb.GetRequest(kind="tenant", name="archive")).object
    assert (got.tenant.weight, got.tenant.rate_per_s) == (2.5, 100.0)
    assert got.tenant.version == 1


def test_resend_gets_the_first_answer_and_changes_nothing(service):
    """Guard against making a change twice when its first response was lost."""
    first = service.stub.Apply(apply_request())
    again = service.stub.Apply(apply_request(base_version=7, reason="another"))
    assert again == first
    listed = service.stub.List(pb.ListRequest())
    assert (len(listed.objects), listed.version) == (1, 1)
    entries = service.stub.QueryRecord(pb.QueryRecordRequest()).entries
    assert [entry.summary.startswith("put tenant") for entry in entries] == [True]


def test_conflict_names_the_winner(service):
    """Guard against a conflict that does not say which change was made first."""
    service.stub.Apply(apply_request())
    reply = service.stub.Apply(apply_request(op_id="op2", operator="bo"))
    assert (reply.kind, reply.version) == (pb.OUTCOME_KIND_CONFLICT, 1)
    assert reply.winner.startswith("ana changed it at ")


def test_same_operation_id_of_two_operators_is_refused(service):
    """Guard against two operators with equal operation ids both seeing success."""
    service.stub.Apply(apply_request())
    reply = service.stub.Apply(apply_request(operator="bo"))
    assert reply.kind == pb.OUTCOME_KIND_INVALID
    assert "was used for another change" in reply.message


BAD_REQUESTS = [
    ("Apply", apply_request(op_id=""), "operation id is empty"),
    ("Apply", apply_request(op_id="a b"), "operation id 'a b' has characters"),
    ("Apply", apply_request(operator=""), "operator is empty"),
    ("Apply", apply_request(reason=" "), "reason is empty"),
    ("Apply", apply_request(reason="x" * 9999), "reason is longer than 2000"),
    ("Apply", apply_request(reason="a\x00b"), "reason has characters that cannot"),
    ("Apply", apply_request(base_version=-1), "base version -1 is negative"),
    ("Apply", apply_request(change=None), "Change is empty"),
    (
        "Apply",
        apply_request(change=pb.Change(put_object=pb.PutObject())),
        "missing required field `value`",
    ),
    (
        "Apply",
        apply_request(change=pb.Change(pin_role=pb.PinRole(engine="e", role=77))),
        "Invalid enum value '77'",
    ),
    (
        "Apply",
        apply_request(change=pb.Change(drain_engine=pb.DrainEngine(engine="e"))),
        "missing required field `drain`",
    ),
    ("Get", pb.GetRequest(kind="cow", name="x"), "kind 'cow' is not one of adapter"),
    ("Get", pb.GetRequest(), "kind '' is not one of"),
    ("List", pb.ListRequest(kind="cow"), "kind 'cow' is not one of"),
    ("InForce", pb.InForceRequest(version=-4), "version is negative"),
    ("InForce", pb.InForceRequest(version=99), "version 99 is after the newest, 0"),
]


@pytest.mark.parametrize(("method", "request_", "message"), BAD_REQUESTS)
def test_bad_input_gets_one_clear_error(service, method, request_, message):
    """Guard against invalid input causing an internal error or reaching the log."""
    error, detail, _ = expect_failure(getattr(service.stub, method), request_)
    assert error.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert detail.kind is ErrorKind.BAD_REQUEST
    assert message in detail.message
    assert service.log.commands == []


def test_unknown_object_is_not_found(service):
    """Guard against a script taking a missing object for a failed call."""
    error, detail, _ = expect_failure(
        service.stub.Get, pb.GetRequest(kind="tenant", name="nö")
    )
    assert error.code() is grpc.StatusCode.NOT_FOUND
    assert detail.message == "tenant/nö does not exist"


@pytest.mark.parametrize(
    ("method", "request_"),
    [
        ("Apply", apply_request()),
        ("Get", pb.GetRequest(kind="tenant", name="a")),
        ("List", pb.ListRequest()),
        ("InForce", pb.InForceRequest()),
        ("QueryRecord", pb.QueryRecordRequest()),
    ],
)
def test_host_that_does_not_lead_names_the_leader(service, method, request_):
    """Guard against a former leader serving reads from state that may be stale."""
    service.log.is_leader = False
    service.log.leader = LEADER
    service.operators["control-2"] = "127.0.0.1:22"
    _, detail, metadata = expect_failure(getattr(service.stub, method), request_)
    assert (detail.kind, detail.ran) == (ErrorKind.NOT_LEADER, ExecutionState.NO)
    assert metadata[LEADER_KEY] == "127.0.0.1:22"
    assert detail.leader == LEADER.address
    status = service.stub.Status(pb.StatusRequest())
    assert (status.is_leader, status.leader) == (False, "control-2")


@pytest.mark.parametrize(
    ("method", "request_"),
    [
        ("Get", pb.GetRequest(kind="tenant", name="a")),
        ("List", pb.ListRequest()),
        ("InForce", pb.InForceRequest()),
        ("QueryRecord", pb.QueryRecordRequest()),
    ],
)
def test_leader_without_a_valid_lease_rejects_reads(service, method, request_):
    """Guard against a leader, paused past its lease, serving reads from stale state."""
    service.log.lease_s = -0.001
    error, detail, _ = expect_failure(getattr(service.stub, method), request_)
    assert error.code() is grpc.StatusCode.UNAVAILABLE
    assert detail.kind is ErrorKind.LEASE_EXPIRED


def sync(service, version):
    """Sync an entry host with the distributor, as its daemon would."""
    request = SyncRequest(
        entry="entry-1",
        incarnation="i",
        address="10.0.0.2:80",
        domain="a",
        version=version,
        draining=False,
        interval_s=0.5,
        in_flight={},
        demand=[],
        engines=[],
        tenant_rates={},
    )
    service.distributor.sync(request, service.clock.now())


def in_force(service, version=0):
    reply = service.stub.InForce(pb.InForceRequest(version=version))
    lists = (reply.confirmed, reply.pending, reply.lease_ended)
    return reply.in_force, *(list(names) for names in lists)


def test_in_force_names_the_entries(service):
    """Guard against reporting a version in force while an entry uses an older one."""
    service.stub.Apply(apply_request())
    sync(service, 1)
    assert in_force(service) == (True, ["entry-1"], [], [])
    service.stub.Apply(apply_request(op_id="op2", change=tenant("firm")))
    assert in_force(service) == (False, [], ["entry-1"], [])
    assert in_force(service, 1) == (True, ["entry-1"], [], [])
    sync(service, 2)
    sync(service, 2)
    assert in_force(service)[1] == ["entry-1"]
    entry = pb.EntryHost(name="entry-2", address="10.0.0.3:80", domain="a")
    value = pb.CatalogObject(entry_host=entry)
    change = pb.Change(put_object=pb.PutObject(value=value))
    service.stub.Apply(apply_request(op_id="op3", change=change))
    assert in_force(service, 1)[3] == ["entry-2"]
    now = service.clock.now()
    service.distributor = Distributor(service.state.catalog, Term(2), now)
    assert in_force(service) == (False, [], ["entry-2"], [])


def test_lost_response_is_unknown_until_the_change_is_resent(service):
    """Guard against reporting a change whose response was lost as refused."""
    service.log.lose_answers = 1
    _, detail, _ = expect_failure(service.stub.Apply, apply_request())
    assert (detail.kind, detail.ran) == (ErrorKind.NO_QUORUM, ExecutionState.UNKNOWN)
    assert service.stub.Apply(apply_request()).version == 1


def test_every_change_of_the_schema_is_decoded(service):
    """Guard against a change type in the schema that the service cannot decode.

    Only the put is valid; the service must still decode the others and reject them.
    """
    fields = pb.Change.DESCRIPTOR.oneofs_by_name["kind"].fields
    for number, field in enumerate(fields):
        change = pb.Change()
        inner = getattr(change, field.name)
        inner.SetInParent()
        for subfield in inner.DESCRIPTOR.fields:
            if subfield.message_type is not None:
                getattr(inner, subfield.name).CopyFrom(tenant().put_object.value)
            elif subfield.type == subfield.TYPE_STRING:
                setattr(
                    inner, subfield.name, "tenant" if subfield.name == "kind" else "x"
                )
            elif subfield.type == subfield.TYPE_BOOL:
                setattr(inner, subfield.name, True)
        reply = service.stub.Apply(apply_request(op_id=f"op{number}", change=change))
        accepted = field.name == "put_object"
        expected = pb.OUTCOME_KIND_ACCEPTED if accepted else pb.OUTCOME_KIND_INVALID
        assert reply.kind == expected, (field.name, reply)
