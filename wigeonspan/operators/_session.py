"""Calls of the operators' service with Python types instead of messages."""

import uuid

from wigeonspan.catalog import (
    CatalogObject,
    Change,
    ChangeOutcome,
)
from wigeonspan.common import ErrorKind, Version, WigeonspanError
from wigeonspan.operators._backend import (
    ControlStatus,
    InForceReport,
    RecordEntryView,
    RecordQuery,
)
from wigeonspan.operators._client import ControlUnreachable, OperatorClient
from wigeonspan.operators._convert import from_message, to_message
from wigeonspan.operators.generated import wigeonspan_pb2 as pb


class Session:
    """Typed calls of the operators' service on behalf of one operator.

    Parameters
    ----------
    client : OperatorClient
        Client that sends the calls.
    operator : str
        Name of the operator who makes the changes.
    """

    def __init__(self, client: OperatorClient, operator: str) -> None:
        self._client = client
        self._operator = operator

    def apply(
        self,
        change: Change,
        base_version: Version,
        reason: str,
        op_id: str = "",
    ) -> ChangeOutcome:
        """Apply a change.

        Parameters
        ----------
        change : Change
            Change to apply.
        base_version : Version
            Version of the object that the change is based on; 0 to create it.
        reason : str
            Reason for the change, stored in the audit record.
        op_id : str
            Operation id; empty generates a new one.

        Returns
        -------
        ChangeOutcome
            Outcome of the change.

        Raises
        ------
        ControlUnreachable
            When the outcome is unknown; carries the operation id for a retry.
        """
        request = pb.ApplyRequest(
            op_id=op_id or uuid.uuid4().hex,
            operator=self._operator,
            reason=reason,
            base_version=base_version,
            change=to_message(change, pb.Change),
        )
        try:
            reply = self._client.call("Apply", request)
        except ControlUnreachable as error:
            raise ControlUnreachable(error.message, request.op_id) from None
        return from_message(reply, ChangeOutcome)

    def get(self, kind: str, name: str) -> CatalogObject | None:
        """Return an object, or None when it does not exist."""
        try:
            reply = self._client.call("Get", pb.GetRequest(kind=kind, name=name))
        except WigeonspanError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                return None
            raise
        return from_message(reply.object, CatalogObject)

    def version_of(self, kind: str, name: str) -> Version:
        """Return the version of an object; 0 when it does not exist."""
        value = self.get(kind, name)
        return value.version if value is not None else Version(0)

    def objects(self, kind: str = "") -> list[CatalogObject]:
        """Return the objects of a kind, or of all kinds."""
        reply = self._client.call("List", pb.ListRequest(kind=kind))
        return [from_message(value, CatalogObject) for value in reply.objects]

    def in_force(self, version: Version = Version(0)) -> InForceReport:
        """Return the state of a version on the entry hosts; 0 selects the newest."""
        reply = self._client.call("InForce", pb.InForceRequest(version=version))
        return from_message(reply, InForceReport)

    def record(self, query: RecordQuery) -> tuple[list[RecordEntryView], bool]:
        """Search the audit record; also return whether older matches were left out."""
        request = to_message(query, pb.QueryRecordRequest)
        reply = self._client.call("QueryRecord", request)
        entries = [from_message(entry, RecordEntryView) for entry in reply.entries]
        return entries, reply.truncated

    def status(self) -> ControlStatus:
        """Return the status of the first host that responds."""
        reply = self._client.call("Status", pb.StatusRequest())
        return from_message(reply, ControlStatus)


def make_session(addresses: list[str], operator: str, timeout_s: float) -> Session:
    """Create a session that calls the given control hosts.

    Parameters
    ----------
    addresses : list of str
        Operators' addresses of the control hosts as ``IP:port``.
    operator : str
        Name of the operator who makes the changes.
    timeout_s : float
        Time limit of one call including its retries, in seconds.
    """
    return Session(OperatorClient(addresses, timeout_s), operator)
