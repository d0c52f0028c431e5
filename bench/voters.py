"""Voters with a small state machine, to measure the replicated log."""

import random
from pathlib import Path
from socket import socket

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application

from wigeonspan.common import SystemClock
from wigeonspan.consensus import BootstrapMember, LogTask
from wigeonspan.http import make_client

DOMAIN = "szeged"


class TableStateMachine:
    """State machine that overwrites rows of a key-value table.

    The state does not grow, so that a measurement shows the cost of the log alone.
    """

    def __init__(self) -> None:
        self.rows: dict[str, str] = {}
        self.restored_rows = 0
        self.applied = 0

    def apply(self, index: int, command: bytes) -> int:
        """Set one row, given as ``key=value``."""
        key, value = command.decode().split("=", 1)
        self.rows[key] = value
        self.applied += 1
        return index

    def snapshot(self) -> bytes:
        """Return all rows."""
        return msgspec.json.encode(self.rows)

    def restore(self, data: bytes) -> None:
        """Replace all rows."""
        self.rows = msgspec.json.decode(data, type=dict[str, str])
        self.restored_rows = len(self.rows)

    def flush(self) -> None:
        """Do nothing: the table has no files."""


def make_change(number: int, value_bytes: int = 200) -> bytes:
    """Return a change of one of 500 rows, by default as large as an operator's."""
    return f"row-{number % 500}={number:0{value_bytes}d}".encode()


class RunningVoter:
    """One voter with its HTTP server.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        Address of the listening socket.
    members : list of BootstrapMember
        Voters with which the cluster starts.
    folder : Path
        Data folder.
    snapshot_entries : int
        Number of applied entries between snapshots.
    """

    def __init__(
        self,
        name: str,
        address: str,
        members: list[BootstrapMember],
        folder: Path,
        snapshot_entries: int = 1000,
    ) -> None:
        self.table = TableStateMachine()
        self._client = make_client(32)
        self.log = LogTask(
            name,
            address,
            DOMAIN,
            members,
            folder,
            self.table,
            SystemClock(),
            random.Random(name),
            self._client,
            snapshot_entries=snapshot_entries,
        )

    async def start(self, sockets: list[socket]) -> None:
        """Start the voter and its server."""
        await self.log.start()
        application = Application(self.log.handlers(), log_function=lambda _: None)
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop the voter and its server."""
        await self.log.stop()
        self._server.stop()
        await self._server.close_all_connections()
        self._client.close()
