"""Links between entries with single addresses or events that cannot be used."""

import asyncio

import pytest

from tests.sharing.test_link import free_address, make_link, wait_until
from wigeonspan.sharing import Relay, WorkEnded


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
