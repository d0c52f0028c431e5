"""Commands of ``wigeonspan-ctl``."""

import os
from typing import Any

from wigeonspan.catalog import (
    AddLearner,
    CatalogObject,
    Change,
    ChangeOutcome,
    DrainEngine,
    DrainEntry,
    Engine,
    OutcomeKind,
    PinRole,
    PromoteLearner,
    PutObject,
    RemoveMember,
    RemoveObject,
    Role,
    WithdrawEngine,
    object_key,
)
from wigeonspan.common import DomainName, EngineId, HostId, Version, WigeonspanError
from wigeonspan.common.cli import take_text
from wigeonspan.operators._backend import ControlStatus, RecordQuery
from wigeonspan.operators._client import OperatorClient, Unreachable
from wigeonspan.operators._fields import (
    UsageError,
    known_kind,
    load_objects,
    merge_object,
    parse_fields,
    parse_version,
    put_fields,
    split_key,
)
from wigeonspan.operators._render import (
    as_json,
    show_in_force,
    show_object,
    show_outcome,
    show_record,
    show_status,
    show_table,
)
from wigeonspan.operators._session import Session
from wigeonspan.record import parse_time

ACCEPTED = 0
"""Exit code: the change was accepted, or the query was answered."""

REFUSED = 1
"""Exit code: refused, in conflict, or not found."""

USAGE = 2
"""Exit code: wrong command line; nothing was sent."""

UNKNOWN = 3
"""Exit code: no control host answered; a change may or may not have happened."""


@take_text
class Ctl:
    """Change and query a wigeonspan deployment.

    Flags of every command: --control, --operator, --reason, --op-id, --base-version,
    --output and --timeout-s. Exit codes: 0 accepted, 1 refused or conflict, 2 usage,
    3 unreachable or unknown outcome. After 3, run the command again with the
    operation id that it printed: the change happens at most once.

    Parameters
    ----------
    control : str
        Operators' addresses of the control hosts, IP:port, separated by commas.
        Default: the environment variable WIGEONSPAN_CONTROL.
    operator : str
        Your name, for the record. Default: the environment variable
        WIGEONSPAN_OPERATOR.
    reason : str
        Why you make the change, for the record.
    op_id : str
        Operation id of a change that is sent again.
    base_version : str
        Version of the object that you looked at. Default: its version now.
    output : str
        "text" or "json".
    timeout_s : str
        Longest time for one call with its retries, in seconds.
    """

    def __init__(
        self,
        control: str = "",
        operator: str = "",
        reason: str = "",
        op_id: str = "",
        base_version: str = "",
        output: str = "text",
        timeout_s: str = "15",
    ) -> None:
        self._control = control or os.environ.get("WIGEONSPAN_CONTROL", "")
        self._operator = operator or os.environ.get("WIGEONSPAN_OPERATOR", "")
        self._reason = reason
        self._op_id = op_id
        self._base_version = base_version
        self._output = output
        self._timeout_s = timeout_s

    @take_text
    def put(self, kind: str, name: str, **fields: str) -> None:
        """Create an object, or change some fields of one.

        Fields that are not given keep their value. Lists and mappings are YAML.

        Parameters
        ----------
        kind : str
            Kind of the object, for example tenant, engine or model-service.
        name : str
            Name of the object; a model version is named model@label.
        fields : str
            Fields of the object, for example --address=10.0.0.7:8000.
        """
        kind = known_kind(kind)
        data = parse_fields(kind, fields)
        session = self._session(change=True)
        present = session.get(kind, name)
        value = merge_object(kind, name, present, data)
        self._finish(self._apply(session, PutObject(value), present))

    @take_text
    def remove(self, kind: str, name: str) -> None:
        """Remove an object that nothing refers to."""
        kind = known_kind(kind)
        self._change(kind, name, RemoveObject(kind, name))

    @take_text
    def pin_role(self, engine: str, role: str) -> None:
        """Fix the role of an engine.

        Parameters
        ----------
        engine : str
            Name of the engine.
        role : str
            prefill, decode or mixed; "planner" gives the choice back to the planner.
        """
        roles = {each.value: each for each in Role}
        if role not in roles and role != "planner":
            raise UsageError(f"role {role!r} is not one of {', '.join(roles)}, planner")
        self._change("engine", engine, PinRole(EngineId(engine), roles.get(role)))

    @take_text
    def drain_engine(self, engine: str) -> None:
        """Take an engine out of service once its requests have ended."""
        self._change("engine", engine, DrainEngine(EngineId(engine), True))

    @take_text
    def undrain_engine(self, engine: str) -> None:
        """Bring a drained engine back into service."""
        self._change("engine", engine, DrainEngine(EngineId(engine), False))

    @take_text
    def withdraw_engine(self, engine: str) -> None:
        """Take an engine out of service for good."""
        self._change("engine", engine, WithdrawEngine(EngineId(engine)))

    @take_text
    def drain_entry(self, entry: str) -> None:
        """Take an entry host out of the directory."""
        self._change("entry_host", entry, DrainEntry(HostId(entry), True))

    @take_text
    def undrain_entry(self, entry: str) -> None:
        """Bring a drained entry host back into the directory."""
        self._change("entry_host", entry, DrainEntry(HostId(entry), False))

    @take_text
    def add_learner(
        self,
        name: str,
        address: str,
        domain: str,
        disk_id: str,
        operators_address: str = "",
    ) -> None:
        """Add a control host that catches up and does not vote.

        Parameters
        ----------
        name : str
            Name of the host.
        address : str
            Its internal HTTP address, IP:port.
        domain : str
            Its failure domain.
        disk_id : str
            Its disk identity, as its status or its log shows it.
        operators_address : str
            Its operators' address, IP:port.
        """
        change = AddLearner(
            HostId(name), address, DomainName(domain), disk_id, operators_address
        )
        self._change("member", name, change)

    @take_text
    def promote_learner(self, name: str) -> None:
        """Let a control host vote that has caught up."""
        self._change("member", name, PromoteLearner(HostId(name)))

    @take_text
    def remove_member(self, name: str) -> None:
        """Remove a control host from the group."""
        self._change("member", name, RemoveMember(HostId(name)))

    @take_text
    def apply_file(self, file: str) -> None:
        """Put the objects of a YAML list, in order; equal ones are left alone.

        Parameters
        ----------
        file : str
            List of mappings, each with kind and the fields of that kind. An engine
            may have pinned_role.
        """
        if self._op_id or self._base_version:
            raise UsageError("apply-file takes neither --op-id nor --base-version")
        values = load_objects(file)
        session = self._session(change=True)
        outcomes: Any = []
        for value in values:
            outcomes += self._put_from_file(session, value)
            if outcomes and outcomes[-1].kind is not OutcomeKind.ACCEPTED:
                break
        text = "\n".join(show_outcome(each) for each in outcomes)
        self._print(outcomes, text or "nothing to change")
        if any(each.kind is not OutcomeKind.ACCEPTED for each in outcomes):
            raise SystemExit(REFUSED)

    @take_text
    def get(self, key: str) -> None:
        """Show one object, named kind/name."""
        kind, name = split_key(key)
        value = self._session().get(kind, name)
        if value is None:
            self._print({"error": f"{key} does not exist"}, f"{key} does not exist")
            raise SystemExit(REFUSED)
        self._print(value, show_object(value))

    @take_text
    def list(self, kind: str = "") -> None:
        """List the objects of a kind, or all objects."""
        values = self._session().objects(known_kind(kind) if kind else "")
        self._print(values, show_table(values))

    @take_text
    def in_force(self, version: str = "0") -> None:
        """Say on which entries a version is in force; exit code 1 when not on all.

        Parameters
        ----------
        version : str
            Version of the configuration; 0 asks for the newest.
        """
        report = self._session().in_force(parse_version(version))
        self._print(report, show_in_force(report))
        if not report.in_force:
            raise SystemExit(REFUSED)

    @take_text
    def record(
        self,
        since: str = "",
        until: str = "",
        subject: str = "",
        actor: str = "",
        kind: str = "",
        limit: str = "100",
    ) -> None:
        """Search the record of changes, orders and decisions.

        Parameters
        ----------
        since : str
            Day or time in UTC, for example 2026-12-03 or 2026-12-03T04:10.
        until : str
            Day or time in UTC; a day means its end.
        subject : str
            Objects, for example engine/e7; several are separated by commas.
        actor : str
            Operator, or part of the system.
        kind : str
            change, engine, order, decision, authority or call.
        limit : str
            Largest number of entries.
        """
        query = RecordQuery(
            since_ms=_time(since, False),
            until_ms=_time(until, True),
            subjects=tuple(part for part in subject.split(",") if part),
            actor=actor,
            kind=kind,
            limit=int(parse_version(limit)),
        )
        lines, truncated = self._session().record(query)
        data = {"entries": lines, "truncated": truncated}
        self._print(data, show_record(lines, truncated))

    @take_text
    def status(self) -> None:
        """Show what each control host knows of itself and its group."""
        statuses = {a: self._status_of(a) for a in self._addresses()}
        text = "\n".join(show_status(a, s) for a, s in statuses.items())
        self._print(statuses, text)
        if all(isinstance(status, str) for status in statuses.values()):
            raise SystemExit(UNKNOWN)

    def _put_from_file(self, session: Session, value: CatalogObject) -> Any:
        """Put an object that differs and pin the role that it names."""
        key = object_key(value)
        present = session.get(*key)
        if present is None or put_fields(present) != put_fields(value):
            yield self._apply(session, PutObject(value), present)
            present = session.get(*key)
        if not (isinstance(value, Engine) and isinstance(present, Engine)):
            return
        if value.pinned_role not in (None, present.pinned_role):
            change = PinRole(value.name, value.pinned_role)
            yield self._apply(session, change, present)

    def _status_of(self, address: str) -> ControlStatus | str:
        client = OperatorClient([address], min(self._timeout(), 3.0))
        try:
            return Session(client, "").status()
        except (Unreachable, WigeonspanError) as error:
            return str(error)
        finally:
            client.close()

    def _change(self, kind: str, name: str, change: Change) -> None:
        session = self._session(change=True)
        present = None if self._base_version else session.get(kind, name)
        self._finish(self._apply(session, change, present))

    def _apply(
        self, session: Session, change: Change, present: CatalogObject | None
    ) -> ChangeOutcome:
        base = present.version if present is not None else Version(0)
        if self._base_version:
            base = parse_version(self._base_version)
        return session.apply(change, base, self._reason, self._op_id)

    def _finish(self, outcome: ChangeOutcome) -> None:
        self._print(outcome, show_outcome(outcome))
        if outcome.kind is not OutcomeKind.ACCEPTED:
            raise SystemExit(REFUSED)

    def _session(self, change: bool = False) -> Session:
        if change and not (self._operator and self._reason):
            raise UsageError("a change needs --operator and --reason")
        client = OperatorClient(self._addresses(), self._timeout())
        return Session(client, self._operator)

    def _addresses(self) -> Any:
        if self._output not in ("text", "json"):
            raise UsageError(f"output {self._output!r} is not text or json")
        addresses = [part.strip() for part in self._control.split(",") if part.strip()]
        if not addresses:
            raise UsageError("set --control or WIGEONSPAN_CONTROL")
        return addresses

    def _timeout(self) -> float:
        try:
            seconds = float(self._timeout_s)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds < 3600:
            raise UsageError(f"timeout {self._timeout_s!r} is not a number of seconds")
        return seconds

    def _print(self, data: Any, text: str) -> None:
        print(as_json(data) if self._output == "json" else text)


def _time(text: str, end: bool) -> int:
    try:
        return parse_time(text, end) if text else 0
    except ValueError as error:
        raise UsageError(str(error)) from None
