"""Order table: one open order per engine and increasing fencing tokens."""

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspan.common import decode, encode
from wigeonspan.engines import OrderAction, OrderRequest
from wigeonspan.orders import (
    CloseOrder,
    OpenOrder,
    OrderResult,
    OrderTable,
    OrderTableSnapshot,
)

REQUEST = OrderRequest("", OrderAction.WITHDRAW)
COMMANDS = st.lists(
    st.tuples(st.booleans(), st.sampled_from(["e1", "e2"]), st.integers(1, 40)),
    max_size=40,
)


@settings(derandomize=True, deadline=None)
@given(COMMANDS, st.integers(0, 40))
def test_one_open_order_per_engine_with_increasing_fences(commands, restored_at):
    """Two open orders of an engine would conflict, and an engine rejects an order with
    a lower fencing token."""
    table = OrderTable()
    highest = {"e1": 0, "e2": 0}
    expected = {}
    for index, (opens, engine, number) in enumerate(commands, start=1):
        if index == restored_at:
            data = encode(table.snapshot())
            table = OrderTable()
            table.restore(decode(data, OrderTableSnapshot))
        if opens:
            outcome = table.apply(index, OpenOrder(engine, REQUEST, "r", 0))
            assert outcome.accepted is (engine not in expected)
            if outcome.accepted:
                assert outcome.order.request.fence > highest[engine]
                highest[engine] = outcome.order.request.fence
                expected[engine] = outcome.order
        else:
            order_id = f"{engine}-{number}"
            close = CloseOrder(engine, order_id, OrderResult.APPLIED, "answer", 0)
            is_open = engine in expected
            matches = is_open and expected[engine].request.order_id == order_id
            assert table.apply(index, close).accepted is matches
            if matches:
                del expected[engine]
        assert dict(table.opened) == expected
