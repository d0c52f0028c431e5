"""Stand-in engine: ``python -m standins.engine --port N``."""

import asyncio
from typing import Any

import fire
from tornado.httpserver import HTTPServer

from standins._engine import EngineSettings, SimulatedEngine
from standins._engine_http import make_application
from standins._faults import EngineFaults, OrderCrash
from standins._serve import listen, serve_until_signal
from standins._text import PIECE_TOKENS, answer_text, prefix_hashes
from wigeonspan.catalog import Role

__all__ = [
    "PIECE_TOKENS",
    "EngineFaults",
    "EngineSettings",
    "OrderCrash",
    "StandinEngine",
    "answer_text",
    "prefix_hashes",
]


class StandinEngine(SimulatedEngine):
    """Stand-in engine that serves on 127.0.0.1 in the running event loop.

    Parameters
    ----------
    settings : EngineSettings
        Behaviour of the engine.
    """

    def __init__(self, settings: EngineSettings) -> None:
        super().__init__(settings)
        self.port = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._server: HTTPServer | None = None

    @property
    def address(self) -> str:
        """Address and port of the started engine."""
        return f"127.0.0.1:{self.port}"

    def start(self, port: int = 0) -> int:
        """Start serving and return the port."""
        self._server, self.port = listen(make_application(self), port)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.batch.prefill_loop()),
            loop.create_task(self.batch.decode_loop()),
        ]
        return self.port

    async def stop(self) -> None:
        """Abort all runs and stop serving."""
        self.batch.clear("stopped")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


def main(port: int = 0, **options: Any) -> None:
    """Run a stand-in engine until SIGTERM.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 lets the operating system choose. The port is printed.
    options
        Fields of :class:`EngineSettings`, as flags.
    """
    string_options = {"name", "model", "model_version"}
    options = {k: str(v) if k in string_options else v for k, v in options.items()}
    if "role" in options:
        options["role"] = Role(options["role"])

    async def run() -> None:
        engine = StandinEngine(EngineSettings(**options))
        await serve_until_signal(lambda: engine.start(port), engine.stop)

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(main)
