"""Turns leaving hosts into commands."""

from collections.abc import Iterable

from wigeonspan.catalog import Engine, EnginePhase, SetEngineState
from wigeonspan.hostlist._messages import HostState, ListedHost

_GONE = frozenset({EnginePhase.LEAVING, EnginePhase.WITHDRAWN})


def leave_commands(
    hosts: Iterable[ListedHost], engines: Iterable[Engine], wall_ms: int
) -> list[SetEngineState]:
    """Return a command for each engine on a leaving host.

    The list lags and may show a leaving host as live again. A host that is live or
    absent therefore changes nothing, and the phase that the command sets cannot be
    left but by withdrawal.

    Parameters
    ----------
    hosts : iterable of ListedHost
        The list.
    engines : iterable of Engine
        All engines.
    wall_ms : int
        Wall-clock time in milliseconds.
    """
    leaving = {h.address: h.name for h in hosts if h.state is HostState.LEAVING}
    commands = []
    for engine in engines:
        host = leaving.get(engine.address) or leaving.get(_ip(engine.address))
        if host is None or engine.phase in _GONE:
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


def _ip(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")
