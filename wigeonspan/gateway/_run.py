"""Run of a gateway in its process: signals and changes of the settings file."""

import asyncio
import random
import signal
from collections.abc import Callable

from wigeonspan.common import Clock, on_stop_signal, watch_settings
from wigeonspan.gateway._daemon import Gateway
from wigeonspan.gateway._settings import GatewaySettings


async def run_gateway(
    make: Callable[[Clock, random.Random], Gateway],
    read_settings: Callable[[], GatewaySettings],
    settings_path: str,
    clock: Clock,
) -> None:
    """Run a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Parameters
    ----------
    make : callable
        Creates the gateway.
    read_settings : callable
        Reads the settings for a reload.
    settings_path : str
        Settings file; changes to it cause a reload without a signal.
    clock : Clock
        Source of time.
    """
    gateway = make(clock, random.Random())
    stop, reload = asyncio.Queue[float](), asyncio.Event()
    on_stop_signal(clock, stop.put_nowait)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload.set)
    await gateway.start()
    watch = asyncio.create_task(
        watch_settings(
            settings_path,
            reload,
            lambda: gateway.reload(read_settings()),
            gateway.record_error,
        )
    )
    signalled_at = await stop.get()
    watch.cancel()
    await gateway.stop(signalled_at)
