"""Stand-in plain service: ``python -m standins.plain --port N``.

``POST /loans`` and ``POST /bookings`` are not idempotent; each execution is counted by
path and body. ``GET`` and ``PUT`` of ``/sheets/{name}`` are idempotent.
"""

import asyncio
from collections import Counter

import fire
import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, RequestHandler

from standins._serve import listen, serve_until_signal


class PlainFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/fault``; an empty body clears all faults.

    Parameters
    ----------
    close_before : bool
        Close the connection after reading the request, without executing it.
    close_after : bool
        Execute the request and close the connection without a response.
    slow_s : float
        Delay in seconds before the request is executed.
    status : int
        Status to respond with instead of executing the request; 0 for none.
    request_limit : str
        Value of the limit that the service names in its answers; empty for none.
    requests : int
        Number of requests that the faults affect; negative for all.
    """

    close_before: bool = False
    close_after: bool = False
    slow_s: float = 0.0
    status: int = 0
    request_limit: str = ""
    requests: int = -1


class StandinPlain:
    """Plain service that counts executions; needs a running event loop.

    Attributes
    ----------
    executions : Counter
        Executions of non-idempotent requests, by path and body.
    arrivals : int
        Requests that arrived, executed or not.
    sheets : dict
        Text of each job sheet, by name.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.arrivals = 0
        self.sheets: dict[str, str] = {}
        self.port = 0
        self._faults = PlainFaults()
        self._remaining_faulty_requests = -1
        self._server: HTTPServer | None = None

    @property
    def address(self) -> str:
        """Address and port of the started service."""
        return f"127.0.0.1:{self.port}"

    def start(self, port: int = 0) -> int:
        """Start serving and return the port."""
        context = {"service": self}
        application = Application(
            [
                ("/(loans|bookings)", NonIdempotentHandler, context),
                ("/sheets/([^/]+)", SheetHandler, context),
                ("/standin/executions", ExecutionsHandler, context),
                ("/standin/arrivals", ArrivalsHandler, context),
                ("/standin/fault", FaultHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self._server, self.port = listen(application, port)
        return self.port

    async def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def set_faults(self, faults: PlainFaults) -> None:
        """Replace all injected faults."""
        self._faults = faults
        self._remaining_faulty_requests = faults.requests

    def next_faults(self) -> PlainFaults:
        """Count a request and return the faults that affect it."""
        self.arrivals += 1
        if self._remaining_faulty_requests == 0:
            return PlainFaults()
        self._remaining_faulty_requests -= 1
        return self._faults


class PlainHandler(RequestHandler):
    """Base class of the handlers, with injected faults."""

    def initialize(self, service: StandinPlain) -> None:
        """Set the service."""
        self.service = service

    def answer(self, status: int, message: object) -> None:
        """Respond with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(message))

    def drop_connection(self) -> None:
        """Close the connection without a response and end the handler."""
        self.request.connection.stream.close()
        raise Finish

    async def fault_before(self) -> PlainFaults:
        """Apply the faults that precede the execution and return all faults."""
        faults = self.service.next_faults()
        if faults.close_before:
            self.drop_connection()
        if faults.request_limit:
            self.set_header("X-Request-Limit", faults.request_limit)
        if faults.status:
            self.answer(faults.status, {"error": "injected fault"})
            raise Finish
        await asyncio.sleep(faults.slow_s)
        return faults


class NonIdempotentHandler(PlainHandler):
    """Handles loan releases and crew bookings."""

    async def post(self, kind: str) -> None:
        """Execute the request again each time, also with the same body."""
        faults = await self.fault_before()
        body = self.request.body.decode()
        self.service.executions[f"{kind} {body}"] += 1
        if faults.close_after:
            self.drop_connection()
        number = sum(self.service.executions.values())
        self.answer(201, {"kind": kind, "number": number})


class SheetHandler(PlainHandler):
    """Handles job sheets."""

    async def get(self, name: str) -> None:
        """Respond with a sheet; an unknown one has an empty text."""
        await self.fault_before()
        self.answer(200, {"sheet": name, "text": self.service.sheets.get(name, "")})

    async def put(self, name: str) -> None:
        """Replace a sheet."""
        await self.fault_before()
        self.service.sheets[name] = self.request.body.decode()
        self.answer(200, {"sheet": name})


class ExecutionsHandler(PlainHandler):
    """Reports the number of executions, for tests."""

    def get(self) -> None:
        """Respond with the counts by path and body."""
        self.answer(200, dict(self.service.executions))


class ArrivalsHandler(PlainHandler):
    """Reports the number of requests that arrived, executed or not, for tests."""

    def get(self) -> None:
        """Respond with the count."""
        self.answer(200, {"arrivals": self.service.arrivals})


class FaultHandler(PlainHandler):
    """Sets the injected faults."""

    def post(self) -> None:
        """Replace all injected faults."""
        faults = msgspec.json.decode(self.request.body, type=PlainFaults)
        self.service.set_faults(faults)
        self.answer(200, {})


def main(port: int = 0) -> None:
    """Run a stand-in plain service until SIGTERM.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 lets the operating system choose. The port is printed.
    """

    async def run() -> None:
        service = StandinPlain()
        await serve_until_signal(lambda: service.start(port), service.stop)

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(main)
