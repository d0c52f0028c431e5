"""Links between entries with single addresses or events that cannot be used."""

import asyncio

import pytest

from tests.sharing.test_link import free_address, make_link, wait_until
from tests.sharing.test_wire import WORK
from wigeonspan.common import HostId
from wigeonspan.placing import PromptPart
from wigeonspan.sharing import Packet, Relay, WorkBegun, WorkEnded
from wigeonspan.sharing._task import MAX_PACKET_EVENTS
from wigeonspan.sharing._wire import MAX_DATAGRAM_BYTES, encode_packet


@pytest.mark.parametrize(
    "odd", ["", "x", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:x", "host.invalid:80"]
)
def test_odd_address_does_not_keep_events_from_the_other_entries(odd):
    """One address that could not be used kept an entry from all others."""

    async def run():
        one, _, _ = await make_link("e1")
        two, address, received = await make_link("e2")
        relay, relay_address = (
            Relay(lambda: [odd, address], lambda: [odd]),
            free_address(),
        )
        await relay.listen(relay_address)
        one.set_peers([odd, address])
        one.publish(WorkEnded("e1/1", True))
        await wait_until(lambda: received)
        one.set_relay(odd)
        one.set_relay(relay_address)
        one.set_peers([odd, *[address] * 40])
        one.publish(WorkEnded("e1/2", True))
        await wait_until(lambda: len(received) == 2)
        one.close(), two.close(), relay.close()
        return received

    assert [event.work for _, event in asyncio.run(run())] == ["e1/1", "e1/2"]


def test_large_events_do_not_cost_the_others_of_their_batch():
    """A batch above the limit of a datagram was dropped as a whole."""
    parts = tuple(PromptPart("x" * 40 + str(i), 5) for i in range(300))
    large = WorkBegun(WORK, parts * 10)
    assert len(encode_packet(Packet(HostId("e1"), [large]))) > MAX_DATAGRAM_BYTES

    async def run():
        one, _, errors = await make_link("e1")
        two, address, received = await make_link("e2")
        one.set_peers([address])
        for number in range(MAX_PACKET_EVENTS - 2):
            one.publish(WorkEnded(f"e1/{number}", True))
        one.publish(WorkBegun(WORK, parts))
        one.publish(large)
        await wait_until(lambda: len(received) == MAX_PACKET_EVENTS - 1)
        one.close(), two.close()
        return errors

    assert len(asyncio.run(run())) == 1
