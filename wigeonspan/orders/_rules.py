"""Rules that select the next effect for one engine."""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from wigeonspan.catalog import Engine, EnginePhase, SetEngineState
from wigeonspan.engines import EngineState, OrderAction, OrderRequest
from wigeonspan.orders._effects import Commit, Effect, FleetView, ReadState, SendResult
from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderResult,
)
from wigeonspan.orders._pacing import LoadPacer
from wigeonspan.orders._track import POLL_INTERVAL_S, EngineTracker
from wigeonspan.orders._wanted import (
    EngineSetup,
    describe_order,
    next_order,
    reported_setup,
    setup_in_catalog,
)

DELIVERY_BOUND_S = 2.0
"""Time after which the kernel drops an order's unsent bytes (TCP_USER_TIMEOUT)."""

SERVING_READ_INTERVAL_S = 2.0
"""Interval between reads of a serving engine, to detect restarts."""

MAX_ORDER_SILENCE_S = 10.0
"""Time without a response after which an engine with an open order is set to failed."""

MAX_LEAVING_SILENCE_S = 60.0
"""Time without a response after which a leaving engine counts as withdrawn.

It applies to engines without an open order.
"""

MAX_LOAD_WAIT_S = 2.0
"""Engines are closed for a load at most this long before the load may start."""

_PLANNED_OUTAGE_PHASES = frozenset(
    {EnginePhase.CLOSING, EnginePhase.DRAINED, EnginePhase.ORDERED}
)


class PlannedOutages:
    """Engines out of service for a planned change, by failure domain and service.

    Engines that an operator drains don't count against the limit, as the operator chose
    to take them out.
    """

    def __init__(self, engines: Iterable[Engine], limit: int) -> None:
        self._limit = limit
        self._out = Counter(
            (engine.domain, engine.service)
            for engine in engines
            if engine.phase in _PLANNED_OUTAGE_PHASES and not engine.drain
        )

    def try_reserve(self, engine: Engine) -> bool:
        """Reserve a planned outage for an engine, unless the limit is reached."""
        key = (engine.domain, engine.service)
        if self._out[key] >= self._limit:
            return False
        self._out[key] += 1
        return True


class RuleContext(Struct, frozen=True):
    """Shared state that the rules use besides the engine itself."""

    view: FleetView
    pacer: LoadPacer
    outages: PlannedOutages
    now: float
    wall_ms: int


def choose_effect(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    """Return the next effect for an engine that has none pending, or None."""
    order = context.view.opened().get(engine.name)
    if order is not None:
        return _close_open_order(engine, tracker, order, context)
    if engine.phase is EnginePhase.WITHDRAWN:
        return None
    if engine.phase is EnginePhase.SERVING:
        return _check_serving(engine, tracker, context)
    if engine.phase is EnginePhase.CLOSING:
        return _wait_for_drain(engine, tracker, context)
    if engine.phase is EnginePhase.LEAVING:
        return _withdraw_leaving(engine, tracker, context)
    return _reconcile(engine, tracker, context)


def _close_open_order(
    engine: Engine, tracker: EngineTracker, order: OpenedOrder, context: RuleContext
) -> Effect | None:
    """Close an open order by the engine's answer or by reading back its state.

    The state is read only when the order can no longer arrive.
    """
    sent = tracker.send_outcome
    order_id = order.request.order_id
    if sent is not None and sent.state is not None:
        if sent.state.last_order == order_id:
            return _make_close_order(
                engine, order, OrderResult.APPLIED, "answer", sent.state, context
            )
    if sent is not None and sent.result is SendResult.REFUSED:
        return _make_close_order(
            engine, order, OrderResult.REFUSED, "answer", None, context
        )
    if tracker.delivery_uncertain_until is None:
        tracker.delivery_uncertain_until = context.now + DELIVERY_BOUND_S
    if context.now < tracker.delivery_uncertain_until:
        return None
    state = tracker.fresh_state(tracker.delivery_uncertain_until, context.now)
    if state is None:
        return _read_back(engine, tracker, context)
    if state.busy_order:
        return _poll(engine, tracker, context)
    if state.last_order == order_id:
        return _make_close_order(
            engine, order, OrderResult.APPLIED, "read_back", state, context
        )
    return _make_close_order(
        engine, order, OrderResult.NOT_APPLIED, "read_back", state, context
    )


def _read_back(engine: Engine, tracker: EngineTracker, context: RuleContext) -> Effect:
    is_unresponsive = tracker.unanswered_s(context.now) > MAX_ORDER_SILENCE_S
    if is_unresponsive and engine.phase is EnginePhase.ORDERED:
        return _make_phase_change(
            engine, EnginePhase.FAILED, "no answer during an order", context
        )
    return ReadState(engine.name, engine.address)


def _check_serving(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    """Take an engine out of service if it must change or has changed by itself."""
    state = tracker.fresh_state(0.0, context.now)
    if state is not None and _differs_from_catalog(engine, state):
        return _make_phase_change(
            engine, EnginePhase.FAILED, "the engine restarted or changed", context
        )
    reason = _reason_to_close(engine, context)
    if reason and (engine.drain or context.outages.try_reserve(engine)):
        return _make_phase_change(engine, EnginePhase.CLOSING, reason, context)
    if tracker.read_is_due(SERVING_READ_INTERVAL_S, context.now):
        return ReadState(engine.name, engine.address)
    return None


def _wait_for_drain(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    """Wait until no request would be cut off; resume service if no change is needed."""
    order = _next_order(engine, setup_in_catalog(engine), context)
    if order is None and not engine.drain:
        return _make_phase_change(
            engine, EnginePhase.SERVING, "no change is wanted any more", context
        )
    if not tracker.is_clear:
        return None
    if tracker.drained_state(context.now) is None:
        return _poll(engine, tracker, context)
    return _make_phase_change(
        engine, EnginePhase.DRAINED, "no request is left to cut", context
    )


def _withdraw_leaving(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    """Withdraw a leaving engine once no request would be cut off."""
    if tracker.withdrawn:
        return _make_phase_change(
            engine, EnginePhase.WITHDRAWN, "withdrawn by an order", context
        )
    if not tracker.is_clear:
        return None
    if tracker.unanswered_s(context.now) > MAX_LEAVING_SILENCE_S:
        return _make_phase_change(
            engine, EnginePhase.WITHDRAWN, "the engine is gone", context
        )
    if tracker.drained_state(context.now) is None:
        return _poll(engine, tracker, context)
    request = OrderRequest(order_id="", action=OrderAction.WITHDRAW)
    return _make_open_order(engine, request, "the engine leaves", context)


def _reconcile(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    """Move an engine that is out of service towards its wanted state."""
    if tracker.order_failure and engine.phase is EnginePhase.ORDERED:
        return _make_phase_change(
            engine, EnginePhase.FAILED, tracker.order_failure, context
        )
    if engine.drain and engine.phase is EnginePhase.DRAINED:
        return None
    state = tracker.fresh_state(0.0, context.now)
    if state is None or state.busy_order:
        return _poll(engine, tracker, context)
    order = _next_order(engine, reported_setup(state), context)
    if order is None and not engine.drain:
        reason = "the engine holds what is wanted"
        return _make_phase_change(engine, EnginePhase.SERVING, reason, context, state)
    if tracker.drained_state(context.now) is None:
        return _poll(engine, tracker, context)
    if order is None or engine.drain:
        return _make_phase_change(
            engine, EnginePhase.DRAINED, "drained by an operator", context, state
        )
    if order.action is OrderAction.LOAD_MODEL and not context.pacer.may_start(
        context.now
    ):
        return None
    if engine.phase is not EnginePhase.ORDERED:
        reason = f"about to {describe_order(order)}"
        return _make_phase_change(engine, EnginePhase.ORDERED, reason, context, state)
    # Record the load before the commit, or all engines that are ready in the same step
    # would start at once.
    record_load(order, context.view, context.pacer, context.now)
    return _make_open_order(engine, order, describe_order(order), context)


def record_load(
    request: OrderRequest, view: FleetView, pacer: LoadPacer, now: float
) -> None:
    """Reserve weight store bandwidth for an order that loads a model.

    Other orders need none.
    """
    if request.action is not OrderAction.LOAD_MODEL:
        return
    size = view.weight_bytes(str(request.model), str(request.model_version))
    pacer.record_start(size, view.policy().weight_store_bytes_per_s, now)


def _next_order(
    engine: Engine, setup: EngineSetup, context: RuleContext
) -> OrderRequest | None:
    service = context.view.service(engine.service) if engine.service else None
    return next_order(engine, service, setup)


def _reason_to_close(engine: Engine, context: RuleContext) -> str:
    """Return why a serving engine must leave service now, or an empty string."""
    if engine.drain:
        return "drained by an operator"
    order = _next_order(engine, setup_in_catalog(engine), context)
    if order is None:
        return ""
    waits_for_store = order.action is OrderAction.LOAD_MODEL and (
        context.pacer.next_start_at > context.now + MAX_LOAD_WAIT_S
    )
    return "" if waits_for_store else f"to {describe_order(order)}"


def _differs_from_catalog(engine: Engine, state: EngineState) -> bool:
    return bool(state.busy_order) or reported_setup(state) != setup_in_catalog(engine)


def _poll(
    engine: Engine, tracker: EngineTracker, context: RuleContext
) -> Effect | None:
    if not tracker.read_is_due(POLL_INTERVAL_S, context.now):
        return None
    return ReadState(engine.name, engine.address)


def _make_open_order(
    engine: Engine, request: OrderRequest, reason: str, context: RuleContext
) -> Commit:
    return Commit(engine.name, OpenOrder(engine.name, request, reason, context.wall_ms))


def _make_close_order(
    engine: Engine,
    order: OpenedOrder,
    result: OrderResult,
    evidence: str,
    state: EngineState | None,
    context: RuleContext,
) -> Commit:
    order_id = order.request.order_id
    command = CloseOrder(
        engine.name, order_id, result, evidence, context.wall_ms, state
    )
    return Commit(engine.name, command)


def _make_phase_change(
    engine: Engine,
    phase: EnginePhase,
    reason: str,
    context: RuleContext,
    state: EngineState | None = None,
) -> Commit:
    command = SetEngineState(
        engine=engine.name,
        expected_version=engine.version,
        reason=reason,
        wall_ms=context.wall_ms,
        phase=phase,
        role=state.role if state else None,
        model=state.model if state else None,
        model_version=state.model_version if state else None,
        adapters=tuple(state.adapters) if state else None,
    )
    return Commit(engine.name, command)
