"""Changes engines to their wanted setup without cutting off urgent requests."""

from typing import Any

from wigeonspan.catalog import Engine, EnginePhase, SetEngineState
from wigeonspan.common import EngineId
from wigeonspan.engines import EngineState, OrderAction
from wigeonspan.orders._effects import (
    Commit,
    Effect,
    FleetView,
    ReadState,
    SendOrder,
    SendOutcome,
    SendResult,
)
from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderOutcome,
    OrderResult,
)
from wigeonspan.orders._pacing import LoadPacer
from wigeonspan.orders._rules import (
    DELIVERY_BOUND_S,
    PlannedOutages,
    RuleContext,
    choose_effect,
    record_load,
)
from wigeonspan.orders._track import COMMIT_RETRY_S, EngineTracker

LEADER_LEASE_S = 1.0
"""Duration of the leader lease; a new leader waits for it plus the delivery bound."""

MAX_CLOCK_DRIFT = 0.01
"""Maximum relative difference between the clock rates of two hosts."""

REQUEST_TRANSIT_S = 2.0
"""Time after the end of an entry's lease in which its last request may still arrive.

An entry that confirmed a version reports its requests in transit as in flight; an entry
that silently lost its lease does not. Unsent bytes of its connections are dropped after
this time.
"""


class OrderController:
    """Drives the phases of all engines on the leader; one instance serves one term.

    It performs no I/O: it returns effects and receives their results. Each engine has
    at most one pending effect, so no decision depends on a state that another effect
    is changing. An order is sent only right after this instance committed it. Orders
    that are already open at the start may have been sent by an earlier leader. They
    are never sent again: once the old leader can no longer deliver them, the engine's
    state is read to find out whether they were applied.

    Parameters
    ----------
    view : FleetView
        Replicated state and entry reports.
    now : float
        Monotonic time in seconds at which this host began to lead.
    """

    def __init__(self, view: FleetView, now: float) -> None:
        self._view = view
        self._trackers: dict[EngineId, EngineTracker] = {}
        self._pacer = LoadPacer(now)
        wait_s = LEADER_LEASE_S * (1.0 + MAX_CLOCK_DRIFT) + DELIVERY_BOUND_S
        for name, order in view.opened().items():
            self._tracker(name).delivery_uncertain_until = now + wait_s
            record_load(order.request, view, self._pacer, now)

    def step(self, now: float, wall_ms: int) -> list[Effect]:
        """Return the next effect for each engine that has none pending.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time in milliseconds, for the record.
        """
        engines = self._view.engines()
        outages = PlannedOutages(engines, self._view.policy().max_out_per_domain)
        context = RuleContext(self._view, self._pacer, outages, now, wall_ms)
        effects = []
        for engine in engines:
            tracker = self._tracker(engine.name)
            self._update_tracker(engine, tracker, now)
            if tracker.effect_pending or now < tracker.not_before:
                continue
            effect = choose_effect(engine, tracker, context)
            if effect is not None:
                self._mark_pending(tracker, effect, now)
                effects.append(effect)
        return effects

    def on_read(self, engine: EngineId, state: EngineState | None, now: float) -> None:
        """Handle the result of :class:`ReadState`; None when there was no response."""
        self._tracker(engine).end_read(state, now)

    def on_committed(self, commit: Commit, result: Any, now: float) -> SendOrder | None:
        """Handle the result of :class:`Commit`.

        Parameters
        ----------
        commit : Commit
            Effect whose command was proposed.
        result : Any
            Result of applying the command, or None when the outcome is unknown.

        Returns
        -------
        SendOrder or None
            The order to send immediately, if one was opened.
        """
        tracker = self._tracker(commit.engine)
        tracker.effect_pending = False
        command = commit.command
        if result is None:
            tracker.not_before = now + COMMIT_RETRY_S
        elif isinstance(command, OpenOrder):
            return self._order_opened(tracker, result)
        elif isinstance(command, CloseOrder) and result.accepted:
            self._order_closed(tracker, command, result.order, now)
        elif isinstance(command, SetEngineState):
            self._phase_set(tracker, command)
        return None

    def on_sent(self, engine: EngineId, sent: SendOutcome, now: float) -> None:
        """Handle the result of :class:`SendOrder`."""
        tracker = self._tracker(engine)
        tracker.effect_pending = False
        tracker.send_outcome = sent
        uncertain_s = DELIVERY_BOUND_S if sent.result is SendResult.UNKNOWN else 0.0
        tracker.delivery_uncertain_until = now + uncertain_s
        tracker.discard_state()

    def _tracker(self, name: EngineId) -> EngineTracker:
        tracker = self._trackers.get(name)
        if tracker is None:
            tracker = self._trackers[name] = EngineTracker()
        return tracker

    def _update_tracker(
        self, engine: Engine, tracker: EngineTracker, now: float
    ) -> None:
        tracker.record_phase(engine)
        since = tracker.out_of_service_since
        clear = (
            since is not None
            and self._view.in_force(since, now - REQUEST_TRANSIT_S)
            and self._view.in_flight(engine.name, now).urgent == 0
        )
        tracker.record_clear(clear, now)

    def _mark_pending(self, tracker: EngineTracker, effect: Effect, now: float) -> None:
        tracker.effect_pending = True
        if isinstance(effect, ReadState):
            tracker.begin_read(now)

    def _order_opened(
        self, tracker: EngineTracker, result: OrderOutcome
    ) -> SendOrder | None:
        order = result.order
        if not result.accepted or order is None:
            return None
        engine = next(e for e in self._view.engines() if e.name == order.engine)
        tracker.effect_pending = True
        tracker.send_outcome = None
        tracker.delivery_uncertain_until = None
        return SendOrder(engine.name, engine.address, order.request)

    def _order_closed(
        self,
        tracker: EngineTracker,
        command: CloseOrder,
        order: OpenedOrder,
        now: float,
    ) -> None:
        sent = tracker.send_outcome
        tracker.send_outcome = None
        tracker.delivery_uncertain_until = None
        tracker.discard_state()
        if command.result is OrderResult.APPLIED:
            tracker.withdrawn = order.request.action is OrderAction.WITHDRAW
            return
        detail = f": {sent.message}" if sent is not None and sent.message else ""
        reason = f"order {command.order_id} was {command.result.value}{detail}"
        tracker.record_order_failure(reason, now)

    def _phase_set(self, tracker: EngineTracker, command: SetEngineState) -> None:
        if command.phase is EnginePhase.SERVING:
            tracker.clear_failures()
            tracker.discard_state()
        if command.phase is EnginePhase.FAILED:
            tracker.order_failure = ""
            tracker.discard_state()
