"""Brings engines to what is wanted of them, without cutting urgent requests."""

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
    SendResult,
    Sent,
)
from wigeonspan.orders._messages import (
    CloseOrder,
    OpenedOrder,
    OpenOrder,
    OrderOutcome,
    OrderResult,
)
from wigeonspan.orders._pacing import LoadPacer
from wigeonspan.orders._rules import DELIVERY_BOUND_S, Moment, Slots, choose, count_load
from wigeonspan.orders._track import COMMIT_RETRY_S, EngineTrack

LEADER_LEASE_S = 1.0
"""Leader lease that a new leader waits out together with the delivery bound."""

DRIFT = 0.01
"""Largest relative difference between the rates of two hosts' clocks."""

TRANSIT_S = 2.0
"""Time after the end of an entry's lease in which its last request may still arrive.

An entry that confirmed counts its requests in transit as in flight; one that lost its
lease without a word does not. Unsent bytes of its connections live this long.
"""


class OrderKeeper:
    """Drives the phases of all engines on the leader; one instance serves one term.

    It returns effects and takes their results. There is at most one effect at a time
    per engine, so no decision rests on a state that another effect is changing. An
    order is sent only right after this instance committed it. An open order that it
    finds was sent by an earlier leader: it is read back after the wait-out, and is
    never sent again.

    Parameters
    ----------
    view : FleetView
        Replicated state and entry reports.
    now : float
        Monotonic time in seconds at which this host began to lead.
    """

    def __init__(self, view: FleetView, now: float) -> None:
        self._view = view
        self._tracks: dict[EngineId, EngineTrack] = {}
        self._pacer = LoadPacer(now)
        wait_s = LEADER_LEASE_S * (1.0 + DRIFT) + DELIVERY_BOUND_S
        for name, order in view.opened().items():
            self._track(name).uncertain_until = now + wait_s
            count_load(order.request, view, self._pacer, now)

    def step(self, now: float, wall_ms: int) -> list[Effect]:
        """Return what to do next for each engine that waits for nothing.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall_ms : int
            Wall-clock time in milliseconds, for the record.
        """
        engines = self._view.engines()
        slots = Slots(engines, self._view.policy().max_out_per_domain)
        at = Moment(self._view, self._pacer, slots, now, wall_ms)
        effects = []
        for engine in engines:
            track = self._track(engine.name)
            self._observe(engine, track, now)
            if track.busy or now < track.not_before:
                continue
            effect = choose(engine, track, at)
            if effect is not None:
                self._begin(track, effect, now)
                effects.append(effect)
        return effects

    def on_read(self, engine: EngineId, state: EngineState | None, now: float) -> None:
        """Take the result of :class:`ReadState`; None when there was no answer."""
        self._track(engine).end_read(state, now)

    def on_committed(self, commit: Commit, result: Any, now: float) -> SendOrder | None:
        """Take the result of :class:`Commit`.

        Parameters
        ----------
        commit : Commit
            What was committed.
        result : Any
            Result of applying it, or None when its fate is unknown.

        Returns
        -------
        SendOrder or None
            The order to send at once, if one was opened.
        """
        track = self._track(commit.engine)
        track.busy = False
        command = commit.command
        if result is None:
            track.not_before = now + COMMIT_RETRY_S
        elif isinstance(command, OpenOrder):
            return self._order_opened(track, result)
        elif isinstance(command, CloseOrder) and result.accepted:
            self._order_closed(track, command, result.order, now)
        elif isinstance(command, SetEngineState):
            self._phase_set(track, command)
        return None

    def on_sent(self, engine: EngineId, sent: Sent, now: float) -> None:
        """Take the result of :class:`SendOrder`."""
        track = self._track(engine)
        track.busy = False
        track.sent = sent
        unsent_s = DELIVERY_BOUND_S if sent.result is SendResult.UNKNOWN else 0.0
        track.uncertain_until = now + unsent_s
        track.forget_state()

    def _track(self, name: EngineId) -> EngineTrack:
        track = self._tracks.get(name)
        if track is None:
            track = self._tracks[name] = EngineTrack()
        return track

    def _observe(self, engine: Engine, track: EngineTrack, now: float) -> None:
        track.note_phase(engine)
        since = track.out_since
        clear = (
            since is not None
            and self._view.in_force(since, now - TRANSIT_S)
            and self._view.in_flight(engine.name, now).urgent == 0
        )
        track.note_clear(clear, now)

    def _begin(self, track: EngineTrack, effect: Effect, now: float) -> None:
        track.busy = True
        if isinstance(effect, ReadState):
            track.begin_read(now)

    def _order_opened(
        self, track: EngineTrack, result: OrderOutcome
    ) -> SendOrder | None:
        order = result.order
        if not result.accepted or order is None:
            return None
        engine = next(e for e in self._view.engines() if e.name == order.engine)
        track.busy = True
        track.sent = None
        track.uncertain_until = None
        return SendOrder(engine.name, engine.address, order.request)

    def _order_closed(
        self, track: EngineTrack, command: CloseOrder, order: OpenedOrder, now: float
    ) -> None:
        sent = track.sent
        track.sent = None
        track.uncertain_until = None
        track.forget_state()
        if command.result is OrderResult.APPLIED:
            track.withdrawn = order.request.action is OrderAction.WITHDRAW
            return
        detail = f": {sent.message}" if sent is not None and sent.message else ""
        reason = f"order {command.order_id} was {command.result.value}{detail}"
        track.note_order_failed(reason, now)

    def _phase_set(self, track: EngineTrack, command: SetEngineState) -> None:
        if command.phase is EnginePhase.SERVING:
            track.note_success()
            track.forget_state()
        if command.phase is EnginePhase.FAILED:
            track.order_failed = ""
            track.forget_state()
