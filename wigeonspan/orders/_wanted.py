"""Compares an engine with what is wanted of it."""

from msgspec import Struct

from wigeonspan.catalog import Engine, ModelService, Role
from wigeonspan.common import ModelName
from wigeonspan.engines import EngineState, OrderAction, OrderRequest


class Held(Struct, frozen=True):
    """What an engine holds: role, model, version and adapters."""

    role: Role
    model: ModelName | None
    model_version: str | None
    adapters: tuple[str, ...]


def held_by_catalog(engine: Engine) -> Held:
    """Return what the configuration says that an engine holds."""
    return Held(engine.role, engine.model, engine.model_version, engine.adapters)


def held_by_state(state: EngineState) -> Held:
    """Return what an engine itself says that it holds."""
    return Held(state.role, state.model, state.model_version, tuple(state.adapters))


def next_order(
    engine: Engine, service: ModelService | None, held: Held
) -> OrderRequest | None:
    """Return the next order that brings an engine to what is wanted.

    Parameters
    ----------
    engine : Engine
        Engine with its wanted role.
    service : ModelService or None
        Service that it is assigned to; None wants no particular model.
    held : Held
        What it holds now.

    Returns
    -------
    OrderRequest or None
        None when nothing is missing. The model comes first, because loading it
        unloads the adapters. Adapters that are not wanted stay.
    """
    if service is not None:
        wanted = (service.model, service.model_version)
        if (held.model, held.model_version) != wanted:
            return OrderRequest(
                order_id="",
                action=OrderAction.LOAD_MODEL,
                model=service.model,
                model_version=service.model_version,
            )
        for adapter in service.adapters:
            if adapter not in held.adapters:
                return OrderRequest(
                    order_id="", action=OrderAction.LOAD_ADAPTER, adapter=adapter
                )
    role = engine.pinned_role or engine.wanted_role
    if held.role is not role:
        return OrderRequest(order_id="", action=OrderAction.CHANGE_ROLE, role=role)
    return None


def describe_order(request: OrderRequest) -> str:
    """Return an order in a few words."""
    if request.action is OrderAction.LOAD_MODEL:
        return f"load model {request.model}@{request.model_version}"
    if request.action is OrderAction.LOAD_ADAPTER:
        return f"load adapter {request.adapter}"
    if request.action is OrderAction.CHANGE_ROLE and request.role is not None:
        return f"change role to {request.role.value}"
    return "withdraw"
