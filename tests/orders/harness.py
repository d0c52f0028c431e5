"""Simulated deployment for the order controller, with manual clock and fault injection.

Engines check the invariants whenever an order arrives, so they hold in every test.
"""

import random

from wigeonspan.catalog import (
    ApplyChange,
    Catalog,
    DrainEngine,
    Engine,
    EnginePhase,
    ModelService,
    ModelVersion,
    OutcomeKind,
    PinRole,
    Policy,
    PutObject,
    Role,
    SetEngineState,
)
from wigeonspan.distribution import Distributor, Follower, InFlight, SyncRequest
from wigeonspan.engines import EngineState, OrderAction
from wigeonspan.orders import (
    CloseOrder,
    Commit,
    OrderController,
    OrderResult,
    OrderTable,
    ReadState,
    SendOutcome,
    SendResult,
    StateView,
)

STEP_S = 0.05
ELECTION_S = 2.5
ORDER_S = 1.0
MAX_DELIVERY_DELAY_S = 1.95  # just below DELIVERY_BOUND_S


class SimEngine:
    def __init__(self, harness, name, checks_fence):
        self.harness, self.name, self.checks_fence = harness, name, checks_fence
        self.urgent, self.highest_fence, self.restarts, self.applied = {}, 0, 0, {}
        self.cut_requests, self.crash_in_order, self.received_fences = 0, False, []
        self.restart(model="m")

    def restart(self, model=None):
        self.cut_requests += len(self.urgent)
        self.urgent = {}
        self.restarts += 1
        self.role, self.model = Role.MIXED, model
        self.model_version = "1" if model else None
        self.adapters, self.busy, self.last, self.busy_until = (), None, "", 0.0

    @property
    def reachable(self):
        return self.harness.now >= self.harness.silent_until

    def state(self):
        busy = self.busy.order_id if self.busy else ""
        return EngineState(
            self.name,
            str(self.restarts),
            self.role,
            self.model,
            self.model_version,
            self.adapters,
            busy,
            self.last,
            len(self.urgent),
            0,
        )

    def receive(self, order):
        harness = self.harness
        assert not self.urgent, f"order {order.order_id} cuts off an urgent request"
        senders = [e.name for e in harness.entries if e.may_send(self.name)]
        assert not senders, f"{senders} may still send when {order.order_id} arrives"
        assert self.busy is None, "an order arrives while another one runs"
        opened = harness.table.opened.get(self.name)
        is_open = opened is not None and opened.request == order
        assert is_open, "an order arrives that is not open"
        assert order.fence > max(self.received_fences, default=0), (
            "an order arrives after a newer one"
        )
        self.received_fences.append(order.fence)
        if self.checks_fence and order.fence < self.highest_fence:
            return "stale_fence"
        self.highest_fence = order.fence
        self.busy, self.busy_until = order, harness.now + ORDER_S
        return ""

    def tick(self):
        now = self.harness.now
        self.urgent = {r: end for r, end in self.urgent.items() if end > now}
        if self.busy is None or now < self.busy_until - ORDER_S / 2:
            return
        if self.crash_in_order:
            self.crash_in_order = False
            self.restart()
        elif now >= self.busy_until:
            order, self.busy, self.last = self.busy, None, self.busy.order_id
            self.applied[order.order_id] = self.restarts
            if order.action is OrderAction.LOAD_MODEL:
                self.model, self.model_version = order.model, order.model_version
                self.adapters = ()
            elif order.action is OrderAction.LOAD_ADAPTER:
                self.adapters = (*self.adapters, order.adapter)
            elif order.action is OrderAction.CHANGE_ROLE:
                self.role = order.role


class SimEntry:
    def __init__(self, harness, name):
        self.harness, self.name, self.number = harness, name, 0
        self.follower, self.in_transit = Follower(name, "a"), []
        self.cut_off_until = self.frozen_until = self.next_sync = 0.0

    def may_send(self, engine):
        follower = self.follower
        value = follower.configuration.engine(engine)
        serving = value is not None and value.phase is EnginePhase.SERVING
        return serving and follower.lease_valid(self.harness.now)

    def tick(self):
        harness, now = self.harness, self.harness.now
        for _, engine, request, end in [x for x in self.in_transit if x[0] <= now]:
            assert engine.busy is None, "a request reaches an engine that runs an order"
            engine.urgent[request] = end
        self.in_transit = [x for x in self.in_transit if x[0] > now]
        if now < self.frozen_until:
            return
        for engine in harness.engines.values():
            busy = len(self.requests(engine)) >= 2
            if (
                not busy
                and self.may_send(engine.name)
                and harness.rng.random() < harness.rate
            ):
                self.number += 1
                arrival = now + harness.rng.choice([0.0, 0.3, 0.6])
                end = arrival + harness.rng.uniform(0.1, 1.5)
                request = (self.name, self.number)
                self.in_transit.append((arrival, engine, request, end))
        if now >= self.next_sync and now >= self.cut_off_until:
            self.sync(now)

    def requests(self, engine):
        arrived = [r for r in engine.urgent if r[0] == self.name]
        return arrived + [x for x in self.in_transit if x[1] is engine]

    def sync(self, now):
        harness = self.harness
        self.next_sync = now + 0.5
        if harness.controller is None:
            return
        running = {
            engine.name: InFlight(len(self.requests(engine)), 0)
            for engine in harness.engines.values()
        }
        request = SyncRequest(
            self.name,
            "a",
            "",
            "d",
            self.follower.version,
            False,
            0.5,
            running,
            [],
            [],
            {},
        )
        version = self.follower.version
        self.follower.accept(harness.distributor.sync(request, now), now)
        if version != self.follower.version:
            self.next_sync = now + STEP_S


class Harness:
    """Simulated leader, entries and engines.

    ``fault(harness, effect, number)`` is called before each effect. It may return
    ``skip`` (the effect is not carried out), ``lose`` (carried out, but the result is
    lost), ``late`` (an order arrives as late as possible and its result is lost) or
    ``freeze`` (the leader is frozen, and nothing is carried out).
    """

    def __init__(self, seed=0, engines=1, checks_fence=False, fault=None, rate=0.05):
        self.now, self.index, self.term, self.effects = 0.0, 0, 0, 0
        self.rng, self.rate = random.Random(seed), rate
        self.fault = fault or (lambda *_: None)
        self.catalog, self.table = Catalog(), OrderTable()
        self.last_fences, self.late_orders, self.trace, self.phases = {}, [], [], []
        self.unanswered_orders, self.silent_until = [], 0.0
        self.next_leader_at, self.controller = 0.0, None
        self.entries = [SimEntry(self, f"entry-{n}") for n in range(2)]
        self.engines = {
            f"e{n}": SimEngine(self, f"e{n}", checks_fence) for n in range(engines)
        }
        self.put(Policy(max_out_per_domain=1))
        self.put(ModelVersion("m", "1", 10**9))
        self.put(ModelVersion("m", "2", 10**9))
        self.put(ModelService("s", "m", "1"))
        for name in self.engines:
            address = f"127.0.0.1:{1 + len(self.engines) + int(name[1:])}"
            self.put(Engine(name, address, "d", checks_fence, "s"))

    def put(self, value):
        present = self.catalog.get(value.__struct_config__.tag, value.name)
        self.change(PutObject(value), present)

    def change(self, change, present):
        base = present.version if present else 0
        self.index += 1
        command = ApplyChange(f"op{self.index}", "o", "r", base, change, 0)
        outcome = self.catalog.apply(self.index, command)
        assert outcome.kind is OutcomeKind.ACCEPTED, outcome

    def pin(self, name, role):
        self.change(PinRole(name, role), self.catalog.engine(name))

    def drain(self, name, drain):
        self.change(DrainEngine(name, drain), self.catalog.engine(name))

    def lose_leader(self, after_s=ELECTION_S):
        self.controller = None
        self.next_leader_at = self.now + after_s

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.tick()

    def run_until(self, condition, limit_s=120.0):
        end = self.now + limit_s
        while not condition():
            assert self.now < end, (self.trace[-8:], self.catalog.objects("engine"))
            self.tick()

    def tick(self):
        self.now += STEP_S
        if self.controller is None and self.now >= self.next_leader_at:
            self.term += 1
            self.distributor = Distributor(self.catalog, self.term, self.now)
            view = StateView(self.catalog, self.table, self.distributor)
            self.controller = OrderController(view, self.now)
        for _, engine, order in [x for x in self.late_orders if x[0] <= self.now]:
            engine.receive(order)
        self.late_orders = [x for x in self.late_orders if x[0] > self.now]
        for engine in self.engines.values():
            engine.tick()
        for entry in self.entries:
            entry.tick()
        self.report_order_results()
        if self.controller is not None:
            for effect in self.controller.step(self.now, 0):
                self.execute(effect)

    def report_order_results(self):
        for engine, order, controller in list(self.unanswered_orders):
            done = engine.last == order.order_id
            lost = not engine.reachable or (
                engine.busy is None or engine.busy.order_id != order.order_id
            )
            if (done or lost) and controller is self.controller:
                answered = done and engine.reachable
                sent = (
                    SendOutcome(SendResult.ANSWERED, engine.state())
                    if answered
                    else SendOutcome(SendResult.UNKNOWN, None, "connection closed")
                )
                controller.on_sent(engine.name, sent, self.now)
            if done or lost or controller is not self.controller:
                self.unanswered_orders.remove((engine, order, controller))

    def execute(self, effect):
        controller = self.controller
        if controller is None:
            return
        self.effects += 1
        failure = self.fault(self, effect, self.effects)
        self.trace.append((round(self.now, 2), effect, failure))
        engine = self.engines[effect.engine]
        if isinstance(effect, Commit):
            result = (
                None if failure in ("skip", "freeze") else self.apply(effect.command)
            )
            if self.controller is not controller:
                return
            result = None if failure in ("skip", "lose", "late") else result
            order = controller.on_committed(effect, result, self.now)
            if order is not None:
                self.execute(order)
        elif isinstance(effect, ReadState):
            if self.controller is controller:
                lost = failure is not None or not engine.reachable
                controller.on_read(
                    effect.engine, None if lost else engine.state(), self.now
                )
        else:
            self.send(engine, effect.request, failure, controller)

    def send(self, engine, order, failure, controller):
        if failure == "freeze":
            return
        if failure == "skip":
            if self.controller is controller:
                sent = SendOutcome(SendResult.NOT_SENT, None, "the lease is too short")
                controller.on_sent(engine.name, sent, self.now)
        elif failure == "late":
            self.late_orders.append((self.now + MAX_DELIVERY_DELAY_S, engine, order))
            if self.controller is controller:
                sent = SendOutcome(SendResult.UNKNOWN, None, "timed out")
                controller.on_sent(engine.name, sent, self.now)
        else:
            if engine.reachable:
                refusal = engine.receive(order)
                if refusal:
                    sent = SendOutcome(SendResult.REFUSED, None, refusal)
                    controller.on_sent(engine.name, sent, self.now)
                    return
            if failure == "lose" and self.controller is controller:
                controller.on_sent(
                    engine.name, SendOutcome(SendResult.UNKNOWN), self.now
                )
            else:
                self.unanswered_orders.append((engine, order, controller))

    def apply(self, command):
        self.index += 1
        if isinstance(command, SetEngineState):
            self.phases.append(command.phase)
            return self.catalog.apply(self.index, command)
        if isinstance(command, CloseOrder):
            self.check_order_result(command)
        outcome = self.table.apply(self.index, command)
        if outcome.accepted and outcome.order.request.fence == self.index:
            name = command.engine
            assert self.index > self.last_fences.get(name, 0), (
                "a fencing token did not increase"
            )
            self.last_fences[name] = self.index
        return outcome

    def check_order_result(self, command):
        engine = self.engines[command.engine]
        if command.result is OrderResult.APPLIED:
            assert command.order_id in engine.applied, (
                "an order was closed as applied, but was not applied"
            )
        elif engine.applied.get(command.order_id) == engine.restarts:
            raise AssertionError("an order was closed as not applied, but was applied")

    def is_settled(self, role=Role.MIXED, label="1", phase=EnginePhase.SERVING):
        for name, engine in self.engines.items():
            registered = self.catalog.engine(name)
            holds = (engine.role, engine.model_version) == (role, label)
            if (
                not holds
                or registered.phase is not phase
                or registered.role is not role
            ):
                return False
        return not self.table.opened
