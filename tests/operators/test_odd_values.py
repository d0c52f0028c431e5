"""Calls of operators with numbers that no command can carry."""

import math

import pytest

from tests.operators.test_service import (
    apply_request,
    expect_failure,
    service,  # noqa: F401
    tenant,
)
from wigeonspan.common import ErrorKind
from wigeonspan.operators.generated import wigeonspan_pb2 as pb


def policy(**fields):
    value = pb.CatalogObject(policy=pb.Policy(name="policy", **fields))
    return pb.Change(put_object=pb.PutObject(value=value))


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize(
    ("make", "field"),
    [
        (tenant, "rate_per_s"),
        (tenant, "burst"),
        (tenant, "weight"),
        (policy, "role_change_price"),
        (policy, "minimum_stay_s"),
        (policy, "weight_store_bytes_per_s"),
    ],
)
def test_number_that_is_not_finite_is_refused(service, make, field, number):  # noqa: F811
    """JSON has no such number, so no host could decode the committed command.

    Every voter stops when a command cannot be applied, and again at each start.
    """
    request = apply_request(change=make(**{field: number}))
    failure, detail, _ = expect_failure(service.stub.Apply, request)
    assert detail.kind is ErrorKind.BAD_REQUEST
    assert field in detail.message
    reply = service.stub.Apply(apply_request(op_id="op2"))
    assert reply.kind == pb.OUTCOME_KIND_ACCEPTED
