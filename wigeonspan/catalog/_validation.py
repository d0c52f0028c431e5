"""Checks of operators' changes; each fault is one sentence for the operator."""

import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Mapping

from wigeonspan.catalog._messages import (
    AddLearner,
    ApplyChange,
)
from wigeonspan.catalog._objects import (
    Adapter,
    CatalogObject,
    Engine,
    EnginePhase,
    EntryHost,
    EntryState,
    Member,
    ModelService,
    ModelVersion,
    PlainService,
    Policy,
    Tenant,
)

Key = tuple[str, str]
"""Kind and name of an object."""

Objects = Mapping[Key, CatalogObject]
"""The configuration, by key."""

MAX_NAME_LENGTH = 128
"""Longest name in characters; names are parts of metric names and record lines."""

MAX_TEXT_LENGTH = 2_000
"""Longest reason in characters, so that one change stays a small log entry."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*")
_CALL = re.compile(r"(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /\S*")
_REMOVABLE_PHASES = frozenset(
    {EnginePhase.NEW, EnginePhase.FAILED, EnginePhase.WITHDRAWN}
)


def check_form(command: ApplyChange) -> str | None:
    """Check the parts of a change that need no state.

    Parameters
    ----------
    command : ApplyChange
        Change as the operator sent it.

    Returns
    -------
    str or None
        The first fault, or None.
    """
    return (
        _check_name("operation id", command.op_id)
        or _check_text("operator", command.operator, MAX_NAME_LENGTH)
        or _check_text("reason", command.reason, MAX_TEXT_LENGTH)
        or (
            f"base version {command.base_version} is negative"
            if command.base_version < 0
            else None
        )
    )


def check_object(value: CatalogObject, objects: Objects) -> str | None:
    """Check an object that an operator puts.

    Parameters
    ----------
    value : CatalogObject
        The object.
    objects : mapping
        Configuration before the change.

    Returns
    -------
    str or None
        The first fault, or None.
    """
    fault = _check_name("name", value.name)
    if fault is not None:
        return fault
    return _CHECKS[type(value)](value, objects)


def check_removal(value: CatalogObject, objects: Objects) -> str | None:
    """Check that an object is not in use.

    Returns
    -------
    str or None
        What uses the object, or None.
    """
    if isinstance(value, Member):
        return "a member is removed with remove_member"
    if isinstance(value, Engine) and value.phase not in _REMOVABLE_PHASES:
        return (
            f"engine/{value.name} is in phase {value.phase.value}; "
            "withdraw it before removing it"
        )
    if isinstance(value, EntryHost) and value.state is not EntryState.DRAINING:
        return f"entry_host/{value.name} is active; drain it before removing it"
    users = sorted(_users(value, objects.values()))
    if users:
        shown = ", ".join(users[:5]) + (", ..." if len(users) > 5 else "")
        return f"it is used by {shown}"
    return None


def check_learner(change: AddLearner, objects: Objects) -> str | None:
    """Check a control host that an operator adds."""
    present = objects.get(("member", change.name))
    if isinstance(present, Member) and present.disk_id == change.disk_id:
        return f"member/{change.name} is already a member with this disk"
    for (_, name), value in objects.items():
        if not isinstance(value, Member) or name == change.name:
            continue
        if value.address == change.address:
            return f"address {change.address} is used by member/{name}"
        if value.disk_id == change.disk_id:
            return f"disk {change.disk_id} belongs to member/{name}"
    fault = _check_name("name", change.name) or check_address(change.address)
    fault = fault or _check_name("domain", change.domain)
    fault = fault or _check_name("disk identity", change.disk_id)
    if fault is None and change.operators_address:
        fault = check_address(change.operators_address)
    return fault


def check_address(address: str) -> str | None:
    """Check an address of the form ``IP:port``.

    Names are refused because the system looks up none while it runs.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        good = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        good = False
    return None if good else f"address {address!r} is not of the form IP:port"


def _check_name(what: str, name: str) -> str | None:
    if not name:
        return f"{what} is empty"
    if len(name) > MAX_NAME_LENGTH:
        return f"{what} is longer than {MAX_NAME_LENGTH} characters"
    if not _NAME.fullmatch(name):
        return f"{what} {name!r} has characters other than letters, digits and ._:@/-"
    return None


def _check_text(what: str, text: str, limit: int) -> str | None:
    if not text.strip():
        return f"{what} is empty"
    if len(text) > limit:
        return f"{what} is longer than {limit} characters"
    if not text.isprintable():
        return f"{what} has characters that cannot be printed"
    return None


def _check_positive(**values: float) -> str | None:
    for name, value in values.items():
        if not (math.isfinite(value) and value > 0):
            return f"{name} is {value}, which is not a positive number"
    return None


def _check_not_negative(**values: float) -> str | None:
    for name, value in values.items():
        if not (math.isfinite(value) and value >= 0):
            return f"{name} is {value}, which is negative or no number"
    return None


def _check_tenant(value: Tenant, objects: Objects) -> str | None:
    return _check_positive(
        rate_per_s=value.rate_per_s,
        burst=value.burst,
        concurrency=value.concurrency,
        weight=value.weight,
    )


def _check_model_version(value: ModelVersion, objects: Objects) -> str | None:
    return (
        _check_name("model", value.model)
        or _check_name("label", value.label)
        or ("model has the character @" if "@" in value.model else None)
        or _check_not_negative(weight_bytes=value.weight_bytes)
    )


def _check_adapter(value: Adapter, objects: Objects) -> str | None:
    return _check_name("model", value.model)


def _check_model_service(value: ModelService, objects: Objects) -> str | None:
    if ("plain_service", value.name) in objects:
        return f"the name is used by plain_service/{value.name}"
    wanted = f"{value.model}@{value.model_version}"
    if ("model_version", wanted) not in objects:
        return f"model_version/{wanted} does not exist"
    for name in value.adapters:
        adapter = objects.get(("adapter", name))
        if not isinstance(adapter, Adapter):
            return f"adapter/{name} does not exist"
        if adapter.model != value.model:
            return f"adapter/{name} is for model {adapter.model}, not {value.model}"
    return _check_positive(default_deadline_ms=value.default_deadline_ms)


def _check_plain_service(value: PlainService, objects: Objects) -> str | None:
    if ("model_service", value.name) in objects:
        return f"the name is used by model_service/{value.name}"
    if not value.targets:
        return "targets is empty"
    for target in value.targets:
        fault = check_address(target.address) or _check_name("domain", target.domain)
        if fault is not None:
            return fault
    if len({target.address for target in value.targets}) < len(value.targets):
        return "targets names an address twice"
    for call in value.non_idempotent:
        if not _CALL.fullmatch(call):
            return f"non_idempotent call {call!r} is not of the form METHOD /path"
    return _check_positive(default_deadline_ms=value.default_deadline_ms)


def _check_engine(value: Engine, objects: Objects) -> str | None:
    fault = check_address(value.address) or _check_name("domain", value.domain)
    if fault is not None:
        return fault
    if value.service is not None and ("model_service", value.service) not in objects:
        return f"model_service/{value.service} does not exist"
    # Two names for one engine would allow two open orders on it at once.
    for (_, name), other in objects.items():
        if isinstance(other, Engine) and other.address == value.address:
            if name != value.name:
                return f"address {value.address} is used by engine/{name}"
    return None


def _check_entry_host(value: EntryHost, objects: Objects) -> str | None:
    return check_address(value.address) or _check_name("domain", value.domain)


def _check_member(value: Member, objects: Objects) -> str | None:
    return "members change with add_learner, promote_learner and remove_member"


def _check_policy(value: Policy, objects: Objects) -> str | None:
    if value.name != "policy":
        return "the only policy is named policy"
    return (
        _check_not_negative(
            role_change_price=value.role_change_price,
            minimum_stay_s=value.minimum_stay_s,
        )
        or _check_positive(weight_store_bytes_per_s=value.weight_store_bytes_per_s)
        or _check_positive(max_out_per_domain=value.max_out_per_domain)
    )


_CHECKS: dict[type, Callable[..., str | None]] = {
    Tenant: _check_tenant,
    ModelVersion: _check_model_version,
    Adapter: _check_adapter,
    ModelService: _check_model_service,
    PlainService: _check_plain_service,
    Engine: _check_engine,
    EntryHost: _check_entry_host,
    Member: _check_member,
    Policy: _check_policy,
}


def _users(value: CatalogObject, others: Iterable[CatalogObject]) -> list[str]:
    """Return the objects that refer to a value."""
    found = []
    for other in others:
        if isinstance(other, ModelService) and (
            (isinstance(value, Adapter) and value.name in other.adapters)
            or (
                isinstance(value, ModelVersion)
                and (value.model, value.label) == (other.model, other.model_version)
            )
        ):
            found.append(f"model_service/{other.name}")
        if isinstance(other, Engine) and isinstance(value, ModelService):
            if other.service == value.name:
                found.append(f"engine/{other.name}")
    return found
