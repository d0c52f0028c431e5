"""Compares the setup of an engine with the wanted one."""

from msgspec import Struct

from wigeonspan.catalog import Engine, ModelService, Role
from wigeonspan.common import ModelName
from wigeonspan.engines import EngineState, OrderAction, OrderRequest


class EngineSetup(Struct, frozen=True):
    """Role, model, model version and adapters of an engine."""

    role: Role
    model: ModelName | None
    model_version: str | None
    adapters: tuple[str, ...]


def setup_in_catalog(engine: Engine) -> EngineSetup:
    """Return the setup of an engine according to the catalog."""
    return EngineSetup(engine.role, engine.model, engine.model_version, engine.adapters)


def reported_setup(state: EngineState) -> EngineSetup:
    """Return the setup that an engine reports."""
    return EngineSetup(
        state.role, state.model, state.model_version, tuple(state.adapters)
    )


def next_order(
    engine: Engine, service: ModelService | None, setup: EngineSetup
) -> OrderRequest | None:
    """Return the next order on the way to an engine's wanted setup.

    Parameters
    ----------
    engine : Engine
        Engine; its pinned role takes precedence over its wanted role.
    service : ModelService or None
        Service that the engine is assigned to; None requires no model.
    setup : EngineSetup
        Current setup of the engine.

    Returns
    -------
    OrderRequest or None
        None when nothing needs to change. The model comes first, because loading it
        unloads the adapters. Adapters that the service doesn't list stay loaded.
    """
    if service is not None:
        wanted = (service.model, service.model_version)
        if (setup.model, setup.model_version) != wanted:
            return OrderRequest(
                order_id="",
                action=OrderAction.LOAD_MODEL,
                model=service.model,
                model_version=service.model_version,
            )
        for adapter in service.adapters:
            if adapter not in setup.adapters:
                return OrderRequest(
                    order_id="", action=OrderAction.LOAD_ADAPTER, adapter=adapter
                )
    role = engine.pinned_role or engine.wanted_role
    if setup.role is not role:
        return OrderRequest(order_id="", action=OrderAction.CHANGE_ROLE, role=role)
    return None


def describe_order(request: OrderRequest) -> str:
    """Describe an order in a short phrase."""
    if request.action is OrderAction.LOAD_MODEL:
        return f"load model {request.model}@{request.model_version}"
    if request.action is OrderAction.LOAD_ADAPTER:
        return f"load adapter {request.adapter}"
    if request.action is OrderAction.CHANGE_ROLE and request.role is not None:
        return f"change role to {request.role.value}"
    return "withdraw"
