"""gRPC server of the operators' service, defined in ``proto/wigeonspan.proto``."""

from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from wigeonspan.catalog import ApplyChange, Change, check_change_metadata, object_kinds
from wigeonspan.common import ErrorKind, Version, WigeonspanError, part_logger
from wigeonspan.operators._backend import ControlBackend, RecordQuery
from wigeonspan.operators._convert import from_message, to_message
from wigeonspan.operators._status import error_metadata, status_code
from wigeonspan.operators.generated import wigeonspan_pb2 as pb
from wigeonspan.operators.generated import wigeonspan_pb2_grpc as pb_grpc

MAX_REQUEST_BYTES = 1_048_576
"""Maximum request size; a change is stored in a single entry of the log."""

STOP_GRACE_S = 5.0
"""Time in seconds that running calls have to complete when the server stops."""

_log = part_logger("operators")


class OperatorService(pb_grpc.OperatorsServicer):
    """Implementation of the operators' service on top of the control daemon.

    Parameters
    ----------
    backend : ControlBackend
        Control daemon that handles the calls.
    """

    def __init__(self, backend: ControlBackend) -> None:
        self._backend = backend

    async def Apply(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Commit a change."""
        return await self._handle(context, lambda: self._apply(request))

    async def Get(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return one object."""
        return await self._handle(context, lambda: self._get(request))

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the objects of a kind."""
        return await self._handle(context, lambda: self._list(request))

    async def InForce(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Report the state of a configuration version on the entry hosts."""
        return await self._handle(context, lambda: self._in_force(request))

    async def QueryRecord(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Search the audit record."""
        return await self._handle(context, lambda: self._query_record(request))

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the status of this host."""
        return await self._handle(context, self._status)

    async def _handle(self, context: Any, handler: Callable[[], Awaitable[Any]]) -> Any:
        """Run the handler of a call and abort the call with a status if it fails."""
        try:
            return await handler()
        except WigeonspanError as error:
            failure = error
        except Exception:
            _log.exception("Operator call failed.")
            failure = WigeonspanError(
                ErrorKind.INTERNAL, "the call failed inside the control daemon"
            )
        context.set_trailing_metadata(
            error_metadata(failure, self._leader_address(failure))
        )
        await context.abort(status_code(failure.kind), failure.message)

    def _leader_address(self, error: WigeonspanError) -> str:
        """Return the leader's address for a ``NOT_LEADER`` error, else ""."""
        if error.kind is not ErrorKind.NOT_LEADER:
            return ""
        return self._backend.status().leader_address

    async def _apply(self, request: Any) -> Any:
        command = ApplyChange(
            op_id=request.op_id,
            operator=request.operator,
            reason=request.reason,
            base_version=Version(request.base_version),
            change=from_message(request.change, Change),
            wall_ms=self._backend.wall_ms(),
        )
        problem = check_change_metadata(command)
        if problem is not None:
            raise WigeonspanError(ErrorKind.BAD_REQUEST, problem)
        return to_message(await self._backend.apply(command), pb.ApplyReply)

    async def _get(self, request: Any) -> Any:
        _check_kind(request.kind, allow_all=False)
        value, version = await self._backend.get(request.kind, request.name)
        if value is None:
            raise WigeonspanError(
                ErrorKind.NOT_FOUND, f"{request.kind}/{request.name} does not exist"
            )
        return pb.GetReply(object=to_message(value, pb.CatalogObject), version=version)

    async def _list(self, request: Any) -> Any:
        _check_kind(request.kind, allow_all=True)
        values, version = await self._backend.objects(request.kind)
        objects = [to_message(value, pb.CatalogObject) for value in values]
        return pb.ListReply(objects=objects, version=version)

    async def _in_force(self, request: Any) -> Any:
        if request.version < 0:
            raise WigeonspanError(ErrorKind.BAD_REQUEST, "version is negative")
        report = await self._backend.in_force(Version(request.version))
        return to_message(report, pb.InForceReply)

    async def _query_record(self, request: Any) -> Any:
        query = from_message(request, RecordQuery)
        lines, truncated = await self._backend.query_record(query)
        entries = [to_message(line, pb.RecordEntry) for line in lines]
        return pb.QueryRecordReply(entries=entries, truncated=truncated)

    async def _status(self) -> Any:
        return to_message(self._backend.status(), pb.StatusReply)


class OperatorServer:
    """gRPC server of the operators' service on one address.

    Parameters
    ----------
    backend : ControlBackend
        Control daemon that handles the calls.
    address : str
        ``IP:port`` to listen on; port 0 selects an unused port.

    Raises
    ------
    OSError
        When the server cannot listen on the address.
    """

    def __init__(self, backend: ControlBackend, address: str) -> None:
        options = [
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            # By default, two daemons could listen on one port and share its connections
            # without an error.
            ("grpc.so_reuseport", 0),
        ]
        self._server = grpc.aio.server(options=options)
        pb_grpc.add_OperatorsServicer_to_server(OperatorService(backend), self._server)
        host = address.rpartition(":")[0]
        try:
            self._port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address} for operators") from error
        self._address = f"{host}:{self._port}"

    @property
    def address(self) -> str:
        """Address that the server listens on, with the actual port."""
        return self._address

    async def start(self) -> None:
        """Start to accept calls."""
        await self._server.start()

    async def stop(self) -> None:
        """Reject new calls and wait for running calls, at most ``STOP_GRACE_S``."""
        await self._server.stop(STOP_GRACE_S)


def _check_kind(kind: str, allow_all: bool) -> None:
    """Raise ``BAD_REQUEST`` for an unknown kind; ``allow_all`` permits an empty one."""
    kinds = object_kinds()
    if kind in kinds or (allow_all and not kind):
        return
    raise WigeonspanError(
        ErrorKind.BAD_REQUEST, f"kind {kind!r} is not one of {', '.join(kinds)}"
    )
