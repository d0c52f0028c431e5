"""Record entries for the commands of the replicated log."""

from collections.abc import Callable
from typing import Any

import msgspec

from wigeonspan.calls import CloseCall, CloseReply, OpenCall, OpenReply
from wigeonspan.catalog import (
    AddLearner,
    ApplyChange,
    Catalog,
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
    SetEngineState,
    SetMembers,
    WithdrawEngine,
    object_key,
)
from wigeonspan.orders import CloseOrder, OpenOrder, OrderOutcome
from wigeonspan.record import EntryDraft, RecordAuthority, RecordDecision, RecordKind


def make_draft(command: Any, result: Any, catalog: Catalog) -> EntryDraft | None:
    """Return the draft of the record entry for an applied command.

    Parameters
    ----------
    command : Command
        Applied command.
    result : Any
        Result of applying it.
    catalog : Catalog
        Catalog after the command.

    Returns
    -------
    EntryDraft or None
        None when commands of this type are not recorded.
    """
    maker = _DRAFT_MAKERS.get(type(command))
    return maker(command, result, catalog) if maker is not None else None


def _draft_change(
    command: ApplyChange, outcome: ChangeOutcome, catalog: Catalog
) -> EntryDraft:
    kind, name = changed_key(command.change)
    detail = _to_builtins(command)
    detail["outcome"] = _to_builtins(outcome)
    if outcome.kind is OutcomeKind.ACCEPTED:
        detail["after"] = _object_after(catalog, kind, name)
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.CHANGE,
        actor=command.operator,
        subjects=_subjects(catalog, kind, name),
        summary=(
            f"{describe_change(command.change)}, because {command.reason!r}: "
            f"{outcome.kind.value}, {outcome.message}"
        ),
        detail=detail,
    )


def _draft_engine_state(
    command: SetEngineState, outcome: ChangeOutcome, catalog: Catalog
) -> EntryDraft:
    detail = _to_builtins(command)
    detail["outcome"] = _to_builtins(outcome)
    if outcome.kind is OutcomeKind.ACCEPTED:
        detail["after"] = _object_after(catalog, "engine", command.engine)
    names = ("phase", "role", "wanted_role", "model", "model_version", "adapters")
    updates = [f"{name} {_join_text(detail[name])}" for name in names if detail[name]]
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.ENGINE,
        actor="control",
        subjects=_subjects(catalog, "engine", command.engine),
        summary=(
            f"set engine/{command.engine} to {', '.join(updates) or 'nothing new'}, "
            f"because {command.reason!r}: {outcome.kind.value}"
        ),
        detail=detail,
    )


def _draft_members(
    command: SetMembers, outcome: ChangeOutcome, catalog: Catalog
) -> EntryDraft:
    names = [member.name for member in command.members]
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.CHANGE,
        actor="control",
        subjects=tuple(f"member/{name}" for name in names),
        summary=f"registered the members {', '.join(names)}",
        detail=_to_builtins(command),
    )


def _draft_order_opening(
    command: OpenOrder, result: OrderOutcome, catalog: Catalog
) -> EntryDraft:
    request = command.request
    order = result.order
    opened = result.accepted and order is not None
    state = f"opened as {order.request.order_id}" if opened else result.message
    parts = (request.role, request.model, request.model_version, request.adapter)
    wanted = [getattr(part, "value", part) for part in parts if part is not None]
    detail = _to_builtins(command)
    detail["accepted"] = result.accepted
    detail["order"] = _to_builtins(order)
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.ORDER,
        actor="control",
        subjects=_subjects(catalog, "engine", command.engine),
        summary=(
            f"order {' '.join([request.action.value, *wanted])} to "
            f"engine/{command.engine}, because {command.reason!r}: {state}"
        ),
        detail=detail,
    )


def _draft_order_closing(
    command: CloseOrder, result: OrderOutcome, catalog: Catalog
) -> EntryDraft:
    state = "closed" if result.accepted else f"not closed, {result.message}"
    detail = _to_builtins(command)
    detail["accepted"] = result.accepted
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.ORDER,
        actor="control",
        subjects=_subjects(catalog, "engine", command.engine),
        summary=(
            f"order {command.order_id} {state}: {command.result.value} by "
            f"{command.evidence}"
        ),
        detail=detail,
    )


def _draft_decision(
    command: RecordDecision, result: Any, catalog: Catalog
) -> EntryDraft:
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.DECISION,
        actor=command.part,
        subjects=command.subjects,
        summary=command.summary,
        detail=_to_builtins(command),
    )


def _draft_authority(
    command: RecordAuthority, result: Any, catalog: Catalog
) -> EntryDraft:
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.AUTHORITY,
        actor=command.host,
        subjects=(f"member/{command.host}",),
        summary=command.summary,
        detail=_to_builtins(command),
    )


def _draft_call_opening(
    command: OpenCall, reply: OpenReply, catalog: Catalog
) -> EntryDraft:
    detail = _to_builtins(command)
    detail["result"] = reply.result.value
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.CALL,
        actor=command.entry,
        subjects=_call_subjects(command),
        summary=(
            f"call with key {command.key!r} to {command.service} asked for by "
            f"{command.entry}: {reply.result.value}"
        ),
        detail=detail,
    )


def _draft_call_closing(
    command: CloseCall, reply: CloseReply, catalog: Catalog
) -> EntryDraft:
    # The response body is the tenant's data and must not appear in the record.
    detail = _to_builtins(msgspec.structs.replace(command, outcome=None))
    if command.outcome is not None:
        detail["status"] = command.outcome.status
    detail["result"] = reply.state.value
    return EntryDraft(
        wall_ms=command.wall_ms,
        kind=RecordKind.CALL,
        actor="control",
        subjects=_call_subjects(command),
        summary=(
            f"call with key {command.key!r} to {command.service} closed as "
            f"{command.state.value}: {reply.state.value}"
        ),
        detail=detail,
    )


_DRAFT_MAKERS: dict[type, Callable[[Any, Any, Catalog], EntryDraft]] = {
    ApplyChange: _draft_change,
    SetEngineState: _draft_engine_state,
    SetMembers: _draft_members,
    OpenOrder: _draft_order_opening,
    CloseOrder: _draft_order_closing,
    RecordDecision: _draft_decision,
    RecordAuthority: _draft_authority,
    OpenCall: _draft_call_opening,
    CloseCall: _draft_call_closing,
}


def changed_key(change: Change) -> tuple[str, str]:
    """Return the kind and name of the object that a change affects."""
    match change:
        case PutObject():
            return object_key(change.value)
        case RemoveObject():
            return change.kind, change.name
        case PinRole() | DrainEngine() | WithdrawEngine():
            return "engine", change.engine
        case DrainEntry():
            return "entry_host", change.entry
        case AddLearner() | PromoteLearner() | RemoveMember():
            return "member", change.name


def describe_change(change: Change) -> str:
    """Describe a change in a short phrase for the record."""
    target = "/".join(changed_key(change))
    match change:
        case PutObject():
            return f"put {target}"
        case RemoveObject() | RemoveMember():
            return f"remove {target}"
        case PinRole():
            if change.role is None:
                return f"unpin the role of {target}"
            return f"pin the role of {target} to {change.role.value}"
        case DrainEngine() | DrainEntry():
            return f"{'drain' if change.drain else 'undrain'} {target}"
        case WithdrawEngine():
            return f"withdraw {target}"
        case AddLearner():
            return f"add {target} as a learner"
        case PromoteLearner():
            return f"promote {target} to a voter"


def _subjects(catalog: Catalog, kind: str, name: str) -> tuple[str, ...]:
    """Return the key of an object, and for an engine also that of its service."""
    value = catalog.get(kind, name)
    own = f"{kind}/{name}"
    if isinstance(value, Engine) and value.service is not None:
        return (own, f"model_service/{value.service}")
    return (own,)


def _call_subjects(command: OpenCall | CloseCall) -> tuple[str, ...]:
    return (
        f"plain_service/{command.service}",
        f"tenant/{command.tenant}",
        f"call/{command.service}/{command.key}",
    )


def _object_after(catalog: Catalog, kind: str, name: str) -> Any:
    return _to_builtins(catalog.get(kind, name))


def _to_builtins(value: Any) -> Any:
    return msgspec.to_builtins(value)


def _join_text(value: Any) -> str:
    return value if isinstance(value, str) else ", ".join(value)
