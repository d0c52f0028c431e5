"""Voters over loopback sockets and real folders."""

import asyncio

import pytest

from tests.consensus.cluster import leader_of, start_group, until


@pytest.mark.parametrize("names", [["a"], ["a", "b", "c"]])
def test_group_commits_and_survives_a_restart(tmp_path, names):
    """A group must elect a leader, commit, and still hold it after a restart."""

    async def run():
        hosts = await start_group(tmp_path, names)
        leader = await leader_of(hosts)
        results = await asyncio.gather(
            *(leader.log.propose(f"w{i}".encode()) for i in range(50))
        )
        assert [result for _, result in results] == list(range(1, 51))
        for host in hosts:
            await until(lambda host=host: len(host.machine.words) == 50)
        for host in hosts:
            await host.stop()
        for host in hosts:
            await host.start([])
        leader = await leader_of(hosts)
        await leader.log.confirm_leadership()
        assert leader.machine.words == [f"w{i}" for i in range(50)]
        for host in hosts:
            await host.stop()

    asyncio.run(run())
