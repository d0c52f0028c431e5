"""Validation of operators' changes; each error is one sentence for the operator."""

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

ObjectKey = tuple[str, str]
"""Kind and name that identify an object."""

ObjectsByKey = Mapping[ObjectKey, CatalogObject]
"""All configuration objects by key."""

MAX_NAME_LENGTH = 128
"""Limit in characters, as names are used in metric names and record lines."""

MAX_TEXT_LENGTH = 2_000
"""Limit in characters on a reason, so that a change stays a small log entry."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*")
_CALL_PATTERN = re.compile(r"(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /\S*")
_REMOVABLE_ENGINE_PHASES = frozenset(
    {EnginePhase.NEW, EnginePhase.FAILED, EnginePhase.WITHDRAWN}
)


def check_change_metadata(command: ApplyChange) -> str | None:
    """Validate the parts of a change that do not depend on the configuration.

    Parameters
    ----------
    command : ApplyChange
        Change as the operator sent it.

    Returns
    -------
    str or None
        The first error, or None.
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


def check_object(value: CatalogObject, objects: ObjectsByKey) -> str | None:
    """Validate an object that an operator creates or replaces.

    Parameters
    ----------
    value : CatalogObject
        Object to validate.
    objects : mapping
        Configuration before the change.

    Returns
    -------
    str or None
        The first error, or None.
    """
    error = _check_name("name", value.name)
    if error is not None:
        return error
    return _VALIDATORS[type(value)](value, objects)


def check_removal(value: CatalogObject, objects: ObjectsByKey) -> str | None:
    """Validate that an object may be removed.

    Returns
    -------
    str or None
        Why it may not, for example the objects that refer to it, or None.
    """
    if isinstance(value, Member):
        return "a member is removed with remove_member"
    if isinstance(value, Engine) and value.phase not in _REMOVABLE_ENGINE_PHASES:
        return (
            f"engine/{value.name} is in phase {value.phase.value}; "
            "withdraw it before removing it"
        )
    if isinstance(value, EntryHost) and value.state is not EntryState.DRAINING:
        return f"entry_host/{value.name} is active; drain it before removing it"
    references = sorted(_find_references(value, objects.values()))
    if references:
        listed = ", ".join(references[:5]) + (", ..." if len(references) > 5 else "")
        return f"it is used by {listed}"
    return None


def check_learner(change: AddLearner, objects: ObjectsByKey) -> str | None:
    """Validate a control host that an operator adds."""
    current = objects.get(("member", change.name))
    if isinstance(current, Member) and current.disk_id == change.disk_id:
        return f"member/{change.name} is already a member with this disk"
    for (_, name), value in objects.items():
        if not isinstance(value, Member) or name == change.name:
            continue
        if value.address == change.address:
            return f"address {change.address} is used by member/{name}"
        if value.disk_id == change.disk_id:
            return f"disk {change.disk_id} belongs to member/{name}"
    error = _check_name("name", change.name) or check_address(change.address)
    error = error or _check_name("domain", change.domain)
    error = error or _check_name("disk identity", change.disk_id)
    if error is None and change.operators_address:
        error = check_address(change.operators_address)
    return error


def check_address(address: str) -> str | None:
    """Validate an address of the form ``IP:port``.

    Host names are rejected because the running system makes no DNS look-ups.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    return None if is_valid else f"address {address!r} is not of the form IP:port"


def _check_name(field: str, name: str) -> str | None:
    if not name:
        return f"{field} is empty"
    if len(name) > MAX_NAME_LENGTH:
        return f"{field} is longer than {MAX_NAME_LENGTH} characters"
    if not _NAME_PATTERN.fullmatch(name):
        return f"{field} {name!r} has characters other than letters, digits and ._:@/-"
    return None


def _check_text(field: str, text: str, limit: int) -> str | None:
    if not text.strip():
        return f"{field} is empty"
    if len(text) > limit:
        return f"{field} is longer than {limit} characters"
    if not text.isprintable():
        return f"{field} has characters that cannot be printed"
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


def _check_tenant(value: Tenant, objects: ObjectsByKey) -> str | None:
    return _check_positive(
        rate_per_s=value.rate_per_s,
        burst=value.burst,
        concurrency=value.concurrency,
        weight=value.weight,
    )


def _check_model_version(value: ModelVersion, objects: ObjectsByKey) -> str | None:
    return (
        _check_name("model", value.model)
        or _check_name("label", value.label)
        or ("model has the character @" if "@" in value.model else None)
        or _check_not_negative(weight_bytes=value.weight_bytes)
    )


def _check_adapter(value: Adapter, objects: ObjectsByKey) -> str | None:
    return _check_name("model", value.model)


def _check_model_service(value: ModelService, objects: ObjectsByKey) -> str | None:
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


def _check_plain_service(value: PlainService, objects: ObjectsByKey) -> str | None:
    if ("model_service", value.name) in objects:
        return f"the name is used by model_service/{value.name}"
    if not value.targets:
        return "targets is empty"
    for target in value.targets:
        error = check_address(target.address) or _check_name("domain", target.domain)
        if error is not None:
            return error
    if len({target.address for target in value.targets}) < len(value.targets):
        return "targets names an address twice"
    for call in value.non_idempotent:
        if not _CALL_PATTERN.fullmatch(call):
            return f"non_idempotent call {call!r} is not of the form METHOD /path"
    return _check_positive(default_deadline_ms=value.default_deadline_ms)


def _check_engine(value: Engine, objects: ObjectsByKey) -> str | None:
    error = check_address(value.address) or _check_name("domain", value.domain)
    if error is not None:
        return error
    if value.service is not None and ("model_service", value.service) not in objects:
        return f"model_service/{value.service} does not exist"
    # An engine with two names could get two open orders at the same time.
    for (_, name), other in objects.items():
        if isinstance(other, Engine) and other.address == value.address:
            if name != value.name:
                return f"address {value.address} is used by engine/{name}"
    return None


def _check_entry_host(value: EntryHost, objects: ObjectsByKey) -> str | None:
    return check_address(value.address) or _check_name("domain", value.domain)


def _check_member(value: Member, objects: ObjectsByKey) -> str | None:
    return "members change with add_learner, promote_learner and remove_member"


def _check_policy(value: Policy, objects: ObjectsByKey) -> str | None:
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


_VALIDATORS: dict[type, Callable[..., str | None]] = {
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


def _find_references(
    value: CatalogObject, others: Iterable[CatalogObject]
) -> list[str]:
    """Return the keys, as ``kind/name``, of the objects that refer to an object."""
    references = []
    for other in others:
        if isinstance(other, ModelService) and (
            (isinstance(value, Adapter) and value.name in other.adapters)
            or (
                isinstance(value, ModelVersion)
                and (value.model, value.label) == (other.model, other.model_version)
            )
        ):
            references.append(f"model_service/{other.name}")
        if isinstance(other, Engine) and isinstance(value, ModelService):
            if other.service == value.name:
                references.append(f"engine/{other.name}")
    return references
