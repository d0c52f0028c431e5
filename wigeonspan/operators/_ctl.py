"""Commands of the program ``wigeonspan-ctl``."""

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
from wigeonspan.common.cli import parse_as_strings
from wigeonspan.operators._backend import ControlStatus, RecordQuery
from wigeonspan.operators._client import ControlUnreachable, OperatorClient
from wigeonspan.operators._fields import (
    UsageError,
    load_objects,
    merge_object,
    normalize_kind,
    parse_fields,
    parse_version,
    settable_values,
    split_key,
)
from wigeonspan.operators._render import (
    format_in_force,
    format_json,
    format_object,
    format_outcome,
    format_record,
    format_status,
    format_table,
)
from wigeonspan.operators._session import Session
from wigeonspan.record import parse_time

EXIT_ACCEPTED = 0
"""Exit code: the change was accepted, or the query succeeded."""

EXIT_REFUSED = 1
"""Exit code: the change was refused or in conflict, or an object was not found."""

EXIT_USAGE = 2
"""Exit code: the command line or an input file is invalid; nothing was sent."""

EXIT_UNKNOWN = 3
"""Exit code: no control host answered, so the outcome of a change is unknown."""


@parse_as_strings
class Ctl:
    """Change and query a wigeonspan deployment.

    Flags of every command: --control, --operator, --reason, --op-id, --base-version,
    --output and --timeout-s. Exit codes: 0 accepted, 1 refused or conflict, 2 usage
    error, 3 unreachable or unknown outcome. After exit code 3, run the command again
    with the operation id that it printed: the change is made at most once.

    Parameters
    ----------
    control : str
        Operators' addresses of the control hosts, IP:port, separated by commas.
        Default: the environment variable WIGEONSPAN_CONTROL.
    operator : str
        Your name, stored in the audit record. Default: the environment variable
        WIGEONSPAN_OPERATOR.
    reason : str
        Reason for the change, stored in the audit record.
    op_id : str
        Operation id of an earlier change to send again. Default: a new id.
    base_version : str
        Version of the object that the change is based on. Default: its current
        version.
    output : str
        "text" or "json".
    timeout_s : str
        Time limit of one call including its retries, in seconds.
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

    @parse_as_strings
    def put(self, kind: str, name: str, **fields: str) -> None:
        """Create an object, or change fields of an existing one.

        Fields that are not given keep their value. Write lists and mappings in YAML.

        Parameters
        ----------
        kind : str
            Kind of the object, for example tenant, engine or model-service.
        name : str
            Name of the object; a model version is named model@label.
        fields : str
            Fields of the object, for example --address=10.0.0.7:8000.
        """
        kind = normalize_kind(kind)
        data = parse_fields(kind, fields)
        session = self._session(change=True)
        current = session.get(kind, name)
        value = merge_object(kind, name, current, data)
        self._print_outcome(self._apply(session, PutObject(value), current))

    @parse_as_strings
    def remove(self, kind: str, name: str) -> None:
        """Remove an object that no other object refers to."""
        kind = normalize_kind(kind)
        self._apply_and_print(kind, name, RemoveObject(kind, name))

    @parse_as_strings
    def pin_role(self, engine: str, role: str) -> None:
        """Pin the role of an engine, or let the planner choose it.

        Parameters
        ----------
        engine : str
            Name of the engine.
        role : str
            prefill, decode or mixed; "planner" removes the pinned role.
        """
        roles = {each.value: each for each in Role}
        if role not in roles and role != "planner":
            raise UsageError(f"role {role!r} is not one of {', '.join(roles)}, planner")
        self._apply_and_print(
            "engine", engine, PinRole(EngineId(engine), roles.get(role))
        )

    @parse_as_strings
    def drain_engine(self, engine: str) -> None:
        """Take an engine out of service after its running requests have ended."""
        self._apply_and_print("engine", engine, DrainEngine(EngineId(engine), True))

    @parse_as_strings
    def undrain_engine(self, engine: str) -> None:
        """Return a drained engine to service."""
        self._apply_and_print("engine", engine, DrainEngine(EngineId(engine), False))

    @parse_as_strings
    def withdraw_engine(self, engine: str) -> None:
        """Take an engine out of service permanently."""
        self._apply_and_print("engine", engine, WithdrawEngine(EngineId(engine)))

    @parse_as_strings
    def drain_entry(self, entry: str) -> None:
        """Remove an entry host from the directory."""
        self._apply_and_print("entry_host", entry, DrainEntry(HostId(entry), True))

    @parse_as_strings
    def undrain_entry(self, entry: str) -> None:
        """Return a drained entry host to the directory."""
        self._apply_and_print("entry_host", entry, DrainEntry(HostId(entry), False))

    @parse_as_strings
    def add_learner(
        self,
        name: str,
        address: str,
        domain: str,
        disk_id: str,
        operators_address: str = "",
    ) -> None:
        """Add a control host as a learner, which receives the log but does not vote.

        Parameters
        ----------
        name : str
            Name of the host.
        address : str
            Internal HTTP address of the host, IP:port.
        domain : str
            Failure domain of the host.
        disk_id : str
            Disk identity of the host, as shown by its status or its log.
        operators_address : str
            Address of the host for operators, IP:port.
        """
        change = AddLearner(
            HostId(name), address, DomainName(domain), disk_id, operators_address
        )
        self._apply_and_print("member", name, change)

    @parse_as_strings
    def promote_learner(self, name: str) -> None:
        """Make a learner that has caught up a voter."""
        self._apply_and_print("member", name, PromoteLearner(HostId(name)))

    @parse_as_strings
    def remove_member(self, name: str) -> None:
        """Remove a control host from the control group."""
        self._apply_and_print("member", name, RemoveMember(HostId(name)))

    @parse_as_strings
    def apply_file(self, file: str) -> None:
        """Put the objects of a YAML file in order; skip those that are unchanged.

        Parameters
        ----------
        file : str
            Path of the file: a list of mappings, each with kind and the fields of that
            kind. An engine may have pinned_role.
        """
        if self._op_id or self._base_version:
            raise UsageError("apply-file takes neither --op-id nor --base-version")
        values = load_objects(file)
        session = self._session(change=True)
        outcomes: Any = []
        for value in values:
            outcomes += self._put_if_different(session, value)
            if outcomes and outcomes[-1].kind is not OutcomeKind.ACCEPTED:
                break
        text = "\n".join(format_outcome(each) for each in outcomes)
        self._print(outcomes, text or "nothing to change")
        if any(each.kind is not OutcomeKind.ACCEPTED for each in outcomes):
            raise SystemExit(EXIT_REFUSED)

    @parse_as_strings
    def get(self, key: str) -> None:
        """Show one object; its key has the form kind/name."""
        kind, name = split_key(key)
        value = self._session().get(kind, name)
        if value is None:
            self._print({"error": f"{key} does not exist"}, f"{key} does not exist")
            raise SystemExit(EXIT_REFUSED)
        self._print(value, format_object(value))

    @parse_as_strings
    def list(self, kind: str = "") -> None:
        """List the objects of a kind, or all objects."""
        values = self._session().objects(normalize_kind(kind) if kind else "")
        self._print(values, format_table(values))

    @parse_as_strings
    def in_force(self, version: str = "0") -> None:
        """Show which entry hosts have confirmed a version of the configuration.

        A version is in force when no entry host can still route by an older one.
        Exit code 1 means that it is not in force yet.

        Parameters
        ----------
        version : str
            Version of the configuration; 0 selects the newest.
        """
        report = self._session().in_force(parse_version(version))
        self._print(report, format_in_force(report))
        if not report.in_force:
            raise SystemExit(EXIT_REFUSED)

    @parse_as_strings
    def record(
        self,
        since: str = "",
        until: str = "",
        subject: str = "",
        actor: str = "",
        kind: str = "",
        limit: str = "100",
    ) -> None:
        """Search the audit record of changes, orders and decisions.

        Parameters
        ----------
        since : str
            Earliest day or time in UTC, for example 2026-12-03 or 2026-12-03T04:10.
        until : str
            Latest day or time in UTC; a day includes all of it.
        subject : str
            Keys of objects, separated by commas, for example engine/e7.
        actor : str
            Operator or component that made the entry.
        kind : str
            Kind of entry: change, engine, order, decision, authority or call.
        limit : str
            Maximum number of entries.
        """
        query = RecordQuery(
            since_ms=_parse_time_ms(since, False),
            until_ms=_parse_time_ms(until, True),
            subjects=tuple(part for part in subject.split(",") if part),
            actor=actor,
            kind=kind,
            limit=int(parse_version(limit)),
        )
        entries, truncated = self._session().record(query)
        data = {"entries": entries, "truncated": truncated}
        self._print(data, format_record(entries, truncated))

    @parse_as_strings
    def status(self) -> None:
        """Show the status of each control host and its view of the control group."""
        statuses = {a: self._fetch_status(a) for a in self._parse_addresses()}
        text = "\n".join(format_status(a, s) for a, s in statuses.items())
        self._print(statuses, text)
        if all(isinstance(status, str) for status in statuses.values()):
            raise SystemExit(EXIT_UNKNOWN)

    def _put_if_different(self, session: Session, value: CatalogObject) -> Any:
        """Put an object if it differs from the current one, then pin its role if set.

        Yields the outcome of each change.
        """
        key = object_key(value)
        current = session.get(*key)
        if current is None or settable_values(current) != settable_values(value):
            yield self._apply(session, PutObject(value), current)
            current = session.get(*key)
        if not (isinstance(value, Engine) and isinstance(current, Engine)):
            return
        if value.pinned_role not in (None, current.pinned_role):
            change = PinRole(value.name, value.pinned_role)
            yield self._apply(session, change, current)

    def _fetch_status(self, address: str) -> ControlStatus | str:
        """Return the status of one control host, or the text of the error."""
        client = OperatorClient([address], min(self._parse_timeout(), 3.0))
        try:
            return Session(client, "").status()
        except (ControlUnreachable, WigeonspanError) as error:
            return str(error)
        finally:
            client.close()

    def _apply_and_print(self, kind: str, name: str, change: Change) -> None:
        """Apply a change to an object, print the outcome and exit unless accepted."""
        session = self._session(change=True)
        current = None if self._base_version else session.get(kind, name)
        self._print_outcome(self._apply(session, change, current))

    def _apply(
        self, session: Session, change: Change, current: CatalogObject | None
    ) -> ChangeOutcome:
        """Apply a change, based on ``--base-version`` or the current version."""
        base = current.version if current is not None else Version(0)
        if self._base_version:
            base = parse_version(self._base_version)
        return session.apply(change, base, self._reason, self._op_id)

    def _print_outcome(self, outcome: ChangeOutcome) -> None:
        """Print an outcome; exit with ``EXIT_REFUSED`` unless it was accepted."""
        self._print(outcome, format_outcome(outcome))
        if outcome.kind is not OutcomeKind.ACCEPTED:
            raise SystemExit(EXIT_REFUSED)

    def _session(self, change: bool = False) -> Session:
        if change and not (self._operator and self._reason):
            raise UsageError("a change needs --operator and --reason")
        client = OperatorClient(self._parse_addresses(), self._parse_timeout())
        return Session(client, self._operator)

    def _parse_addresses(self) -> Any:
        """Check ``--output`` and return the addresses of the control hosts."""
        if self._output not in ("text", "json"):
            raise UsageError(f"output {self._output!r} is not text or json")
        addresses = [part.strip() for part in self._control.split(",") if part.strip()]
        if not addresses:
            raise UsageError("set --control or WIGEONSPAN_CONTROL")
        return addresses

    def _parse_timeout(self) -> float:
        """Return ``--timeout-s`` as a number of seconds."""
        try:
            seconds = float(self._timeout_s)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds < 3600:
            raise UsageError(f"timeout {self._timeout_s!r} is not a number of seconds")
        return seconds

    def _print(self, data: Any, text: str) -> None:
        print(format_json(data) if self._output == "json" else text)


def _parse_time_ms(text: str, end: bool) -> int:
    """Convert a day or time to milliseconds since the epoch; 0 when it is empty.

    A day means its start, or its end when ``end`` is true.
    """
    try:
        return parse_time(text, end) if text else 0
    except ValueError as error:
        raise UsageError(str(error)) from None
