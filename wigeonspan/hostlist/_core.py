"""Commands that take engines on leaving hosts out of service."""

from collections.abc import Iterable

from wigeonspan.catalog import Engine, EnginePhase, SetEngineState
from wigeonspan.hostlist._messages import HostState, ListedHost

_ALREADY_LEAVING = frozenset({EnginePhase.LEAVING, EnginePhase.WITHDRAWN})


def commands_for_leaving_hosts(
    hosts: Iterable[ListedHost], engines: Iterable[Engine], wall_ms: int
) -> list[SetEngineState]:
    """Return a command for each engine on a leaving host.

    The list lags behind and may show a leaving host as live again. Therefore a host
    that is live or missing causes no command, and an engine in phase ``LEAVING`` can
    only be withdrawn.

    Parameters
    ----------
    hosts : iterable of ListedHost
        Hosts on the platform's list.
    engines : iterable of Engine
        All engines.
    wall_ms : int
        Wall-clock time in milliseconds.
    """
    leaving = {h.address: h.name for h in hosts if h.state is HostState.LEAVING}
    commands = []
    for engine in engines:
        host = leaving.get(engine.address) or leaving.get(_ip_address(engine.address))
        if host is None or engine.phase in _ALREADY_LEAVING:
            continue
        commands.append(
            SetEngineState(
                engine=engine.name,
                expected_version=engine.version,
                reason=f"host {host} is on the leaving list",
                wall_ms=wall_ms,
                phase=EnginePhase.LEAVING,
            )
        )
    return commands


def _ip_address(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")
