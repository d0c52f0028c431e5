"""Rules that choose the next effect for one engine."""

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
from wigeonspan.orders._track import POLL_S, EngineTrack
from wigeonspan.orders._wanted import (
    Held,
    describe_order,
    held_by_catalog,
    held_by_state,
    next_order,
)

DELIVERY_BOUND_S = 2.0
"""Time after which unsent bytes of an order connection are gone (TCP_USER_TIMEOUT)."""

WATCH_S = 2.0
"""Time between reads of a serving engine, to notice that it restarted."""

UNREACHABLE_S = 10.0
"""Silence after which an engine with an open order is shown as failed."""

GONE_S = 60.0
"""Silence after which a leaving engine without an open order counts as withdrawn."""

LOAD_AHEAD_S = 2.0
"""Engines leave service for a load at most this long before the load may start."""

_PLANNED_OUT = frozenset(
    {EnginePhase.CLOSING, EnginePhase.DRAINED, EnginePhase.ORDERED}
)


class Slots:
    """Engines out for a planned change, by failure domain and service.

    Engines that an operator drains do not count: that is the operator's choice.
    """

    def __init__(self, engines: Iterable[Engine], limit: int) -> None:
        self._limit = limit
        self._out = Counter(
            (engine.domain, engine.service)
            for engine in engines
            if engine.phase in _PLANNED_OUT and not engine.drain
        )

    def take(self, engine: Engine) -> bool:
        """Take a slot for an engine, if one is free."""
        key = (engine.domain, engine.service)
        if self._out[key] >= self._limit:
            return False
        self._out[key] += 1
        return True


class Moment(Struct, frozen=True):
    """What the rules look at besides the engine."""

    view: FleetView
    pacer: LoadPacer
    slots: Slots
    now: float
    wall_ms: int


def choose(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    """Return the next effect for an engine that waits for nothing, or None."""
    order = at.view.opened().get(engine.name)
    if order is not None:
        return _resolve(engine, track, order, at)
    if engine.phase is EnginePhase.WITHDRAWN:
        return None
    if engine.phase is EnginePhase.SERVING:
        return _watch(engine, track, at)
    if engine.phase is EnginePhase.CLOSING:
        return _drain(engine, track, at)
    if engine.phase is EnginePhase.LEAVING:
        return _leave(engine, track, at)
    return _change(engine, track, at)


def _resolve(
    engine: Engine, track: EngineTrack, order: OpenedOrder, at: Moment
) -> Effect | None:
    """Close an open order by its answer, or by a read-back after the wait-out."""
    sent = track.sent
    order_id = order.request.order_id
    if sent is not None and sent.state is not None:
        if sent.state.last_order == order_id:
            return _end(engine, order, OrderResult.APPLIED, "answer", sent.state, at)
    if sent is not None and sent.result is SendResult.REFUSED:
        return _end(engine, order, OrderResult.REFUSED, "answer", None, at)
    if track.uncertain_until is None:
        track.uncertain_until = at.now + DELIVERY_BOUND_S
    if at.now < track.uncertain_until:
        return None
    state = track.state_sent_after(track.uncertain_until, at.now)
    if state is None:
        return _read_back(engine, track, at)
    if state.busy_order:
        return _poll(engine, track, at)
    if state.last_order == order_id:
        return _end(engine, order, OrderResult.APPLIED, "read_back", state, at)
    return _end(engine, order, OrderResult.NOT_APPLIED, "read_back", state, at)


def _read_back(engine: Engine, track: EngineTrack, at: Moment) -> Effect:
    is_silent = track.silent_s(at.now) > UNREACHABLE_S
    if is_silent and engine.phase is EnginePhase.ORDERED:
        return _set(engine, EnginePhase.FAILED, "no answer during an order", at)
    return ReadState(engine.name, engine.address)


def _watch(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    """Take a serving engine out when it must change or is not what it was."""
    state = track.state_sent_after(0.0, at.now)
    if state is not None and _differs(engine, state):
        return _set(engine, EnginePhase.FAILED, "the engine restarted or changed", at)
    reason = _reason_to_close(engine, at)
    if reason and (engine.drain or at.slots.take(engine)):
        return _set(engine, EnginePhase.CLOSING, reason, at)
    if track.read_is_due(WATCH_S, at.now):
        return ReadState(engine.name, engine.address)
    return None


def _drain(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    """Wait until nothing would be cut, or return when nothing is to change."""
    order = _next_order(engine, held_by_catalog(engine), at)
    if order is None and not engine.drain:
        return _set(engine, EnginePhase.SERVING, "no change is wanted any more", at)
    if not track.is_clear:
        return None
    if track.drained_state(at.now) is None:
        return _poll(engine, track, at)
    return _set(engine, EnginePhase.DRAINED, "no request is left to cut", at)


def _leave(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    """Withdraw a leaving engine once nothing would be cut."""
    if track.withdrawn:
        return _set(engine, EnginePhase.WITHDRAWN, "withdrawn by an order", at)
    if not track.is_clear:
        return None
    if track.silent_s(at.now) > GONE_S:
        return _set(engine, EnginePhase.WITHDRAWN, "the engine is gone", at)
    if track.drained_state(at.now) is None:
        return _poll(engine, track, at)
    request = OrderRequest(order_id="", action=OrderAction.WITHDRAW)
    return _open(engine, request, "the engine leaves", at)


def _change(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    """Bring an engine that is out of service to what is wanted of it."""
    if track.order_failed and engine.phase is EnginePhase.ORDERED:
        return _set(engine, EnginePhase.FAILED, track.order_failed, at)
    if engine.drain and engine.phase is EnginePhase.DRAINED:
        return None
    state = track.state_sent_after(0.0, at.now)
    if state is None or state.busy_order:
        return _poll(engine, track, at)
    order = _next_order(engine, held_by_state(state), at)
    if order is None and not engine.drain:
        reason = "the engine holds what is wanted"
        return _set(engine, EnginePhase.SERVING, reason, at, state)
    if track.drained_state(at.now) is None:
        return _poll(engine, track, at)
    if order is None or engine.drain:
        return _set(engine, EnginePhase.DRAINED, "drained by an operator", at, state)
    if order.action is OrderAction.LOAD_MODEL and not at.pacer.may_start(at.now):
        return None
    if engine.phase is not EnginePhase.ORDERED:
        reason = f"about to {describe_order(order)}"
        return _set(engine, EnginePhase.ORDERED, reason, at, state)
    # Counted before the commit, or engines that are ready together would all start.
    count_load(order, at.view, at.pacer, at.now)
    return _open(engine, order, describe_order(order), at)


def count_load(
    request: OrderRequest, view: FleetView, pacer: LoadPacer, now: float
) -> None:
    """Count an order against the rate of the weight store, if it loads a model."""
    if request.action is not OrderAction.LOAD_MODEL:
        return
    size = view.weight_bytes(str(request.model), str(request.model_version))
    pacer.start(size, view.policy().weight_store_bytes_per_s, now)


def _next_order(engine: Engine, held: Held, at: Moment) -> OrderRequest | None:
    service = at.view.service(engine.service) if engine.service else None
    return next_order(engine, service, held)


def _reason_to_close(engine: Engine, at: Moment) -> str:
    """Return why a serving engine must leave service now, or an empty text."""
    if engine.drain:
        return "drained by an operator"
    order = _next_order(engine, held_by_catalog(engine), at)
    if order is None:
        return ""
    waits_for_store = order.action is OrderAction.LOAD_MODEL and (
        at.pacer.free_at > at.now + LOAD_AHEAD_S
    )
    return "" if waits_for_store else f"to {describe_order(order)}"


def _differs(engine: Engine, state: EngineState) -> bool:
    return bool(state.busy_order) or held_by_state(state) != held_by_catalog(engine)


def _poll(engine: Engine, track: EngineTrack, at: Moment) -> Effect | None:
    if not track.read_is_due(POLL_S, at.now):
        return None
    return ReadState(engine.name, engine.address)


def _open(engine: Engine, request: OrderRequest, reason: str, at: Moment) -> Commit:
    return Commit(engine.name, OpenOrder(engine.name, request, reason, at.wall_ms))


def _end(
    engine: Engine,
    order: OpenedOrder,
    result: OrderResult,
    evidence: str,
    state: EngineState | None,
    at: Moment,
) -> Commit:
    order_id = order.request.order_id
    command = CloseOrder(engine.name, order_id, result, evidence, at.wall_ms, state)
    return Commit(engine.name, command)


def _set(
    engine: Engine,
    phase: EnginePhase,
    reason: str,
    at: Moment,
    state: EngineState | None = None,
) -> Commit:
    command = SetEngineState(
        engine=engine.name,
        expected_version=engine.version,
        reason=reason,
        wall_ms=at.wall_ms,
        phase=phase,
        role=state.role if state else None,
        model=state.model if state else None,
        model_version=state.model_version if state else None,
        adapters=tuple(state.adapters) if state else None,
    )
    return Commit(engine.name, command)
