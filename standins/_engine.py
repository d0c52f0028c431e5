"""State of the stand-in engine and what orders do to it."""

import asyncio
import time
import uuid
from collections import deque

from msgspec import Struct, structs

from standins._batch import Batch, Run
from standins._cache import PrefixCache
from standins._faults import EngineFaults, OrderCrash
from wigeonspan.catalog import Role
from wigeonspan.common import EngineId, ModelName
from wigeonspan.engines import EngineState, LoadReport, OrderAction, OrderRequest


class EngineSettings(Struct, frozen=True):
    """How a stand-in engine behaves.

    Parameters
    ----------
    model, model_version : str
        Model that is loaded at the start; empty for none.
    checks_fence : bool
        Whether orders with an old fencing token are refused.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of the whole engine.
    token_interval_s : float
        Shortest time between two tokens of one stream.
    batch_limit : int
        Largest number of requests in the batch.
    pieces : int
        Pieces of KV memory, 16 tokens each.
    event_lag_s, event_gap_every : float, int
        Lag of cache events, and which of them are lost (each n-th; 0 for none).
    load_lag_s : float
        Time between two measurements of the load report.
    order_s : float
        Time that an order takes.
    """

    name: str = "engine"
    model: str = "demo-model"
    model_version: str = "1"
    role: Role = Role.MIXED
    checks_fence: bool = False
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 2_000.0
    token_interval_s: float = 0.005
    batch_limit: int = 16
    pieces: int = 4000
    event_lag_s: float = 0.0
    event_gap_every: int = 0
    load_lag_s: float = 0.0
    order_s: float = 0.05


class OrderRefused(Exception):
    """Answer 409 to an order; the message is ``stale_fence`` or ``busy``."""


class EngineCrashed(Exception):
    """The engine restarted while it handled a request."""


class EngineModel:
    """Engine that produces deterministic text, without its HTTP server.

    Parameters
    ----------
    settings : EngineSettings
        How it behaves.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.fault_streams_left = -1
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.cache = PrefixCache(
            settings.pieces, settings.event_lag_s, settings.event_gap_every
        )
        self.batch = Batch(
            settings.batch_limit,
            settings.prefill_tokens_per_s,
            settings.decode_tokens_per_s,
            settings.token_interval_s,
            self.cache,
            time.monotonic,
        )
        self.handles: dict[str, int] = {}
        self.orders: list[OrderRequest] = []
        self.cut_urgent = 0
        self.cut_batch = 0
        self.completions = 0
        self.dead_until = 0.0
        self._highest_fence = 0
        self._withdrawn = False
        self._sample: LoadReport | None = None
        self._sampled_at = 0.0
        self._emitted: deque[tuple[float, int]] = deque(maxlen=4096)
        self._start_state(ModelName(settings.model) if settings.model else None)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return time.monotonic()

    @property
    def is_dead(self) -> bool:
        """Whether it answers nobody."""
        return self.now < self.dead_until

    @property
    def is_available(self) -> bool:
        """Whether it takes completions."""
        return not self.busy_order and not self._withdrawn

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the fault switches."""
        self.faults = faults
        self.fault_streams_left = faults.streams
        if faults.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def faults_of_next_stream(self) -> EngineFaults:
        """Return the faults that hit a new stream, and count it."""
        if self.fault_streams_left == 0:
            return EngineFaults()
        self.fault_streams_left -= 1
        return self.faults

    def note_emitted(self, tokens: int) -> None:
        """Count tokens that were sent."""
        self._emitted.append((self.now, tokens))

    def serves(self, model: str) -> bool:
        """Whether a name in the ``model`` field is loaded."""
        return model == self.model or model in self.adapters

    def crash(self) -> None:
        """Restart empty: all runs are cut and nothing is loaded."""
        self._cut_all("crashed")
        self.dead_until = self.now + self.faults.dead_s
        self.cache.clear()
        self.handles.clear()
        self._start_state(None)

    def state(self) -> EngineState:
        """Return the state as the protocol reports it."""
        runs = self.batch.runs
        urgent = sum(1 for run in runs if run.is_urgent)
        return EngineState(
            engine=EngineId(self.settings.name),
            incarnation=self.incarnation,
            role=self.role,
            model=self.model,
            model_version=self.model_version,
            adapters=self.adapters,
            busy_order=self.busy_order,
            last_order=self.last_order,
            urgent=urgent,
            batch=len(runs) - urgent,
        )

    def load(self) -> LoadReport:
        """Return the last measurement of the load with its age."""
        age_s = self.now - self._sampled_at
        if self._sample is None or age_s >= self.settings.load_lag_s:
            self._sample = self._measure()
            self._sampled_at = self.now
            age_s = 0.0
        return structs.replace(self._sample, age_s=age_s)

    async def carry_out(self, order: OrderRequest) -> EngineState:
        """Carry out an order; running requests are cut, as on a real engine.

        Raises
        ------
        OrderRefused
            When another order is busy or the fence is old and checked.
        EngineCrashed
            When a fault crashes the engine in the order.
        """
        self.orders.append(order)
        if self.busy_order:
            raise OrderRefused("busy")
        if self.settings.checks_fence and order.fence is not None:
            if order.fence < self._highest_fence:
                raise OrderRefused("stale_fence")
            self._highest_fence = order.fence
        if order.order_id == self.last_order:
            return self.state()
        crash, self.faults = (
            self.faults.crash_in_order,
            structs.replace(self.faults, crash_in_order=None),
        )
        self._crash_if(crash, OrderCrash.BEFORE)
        self._cut_all("order")
        self.busy_order = order.order_id
        incarnation = self.incarnation
        await asyncio.sleep(self.settings.order_s / 2)
        self._crash_if(crash, OrderCrash.PARTWAY)
        await asyncio.sleep(self.settings.order_s / 2)
        if self.incarnation != incarnation:
            raise EngineCrashed
        self._take_effect(order)
        self._crash_if(crash, OrderCrash.AFTER)
        return self.state()

    def _start_state(self, model: ModelName | None) -> None:
        self.incarnation = uuid.uuid4().hex
        self.role = self.settings.role
        self.model = model
        self.model_version = self.settings.model_version if model else None
        self.adapters: tuple[str, ...] = ()
        self.busy_order = ""
        self.last_order = ""

    def _crash_if(self, crash: OrderCrash | None, place: OrderCrash) -> None:
        if crash is place:
            self.crash()
            raise EngineCrashed

    def _cut_all(self, reason: str) -> None:
        runs: list[Run] = self.batch.runs
        urgent = sum(1 for run in runs if run.is_urgent)
        self.cut_urgent += urgent
        self.cut_batch += len(runs) - urgent
        self.batch.clear(reason)

    def _take_effect(self, order: OrderRequest) -> None:
        self.busy_order = ""
        self.last_order = order.order_id
        if order.action is OrderAction.LOAD_MODEL:
            self.model, self.model_version = order.model, order.model_version
            self.adapters = ()
            self.cache.clear()
        elif order.action is OrderAction.LOAD_ADAPTER and order.adapter:
            self.adapters = tuple(sorted({*self.adapters, order.adapter}))
        elif order.action is OrderAction.CHANGE_ROLE and order.role:
            self.role = order.role
        elif order.action is OrderAction.WITHDRAW:
            self._withdrawn = True

    def _measure(self) -> LoadReport:
        recent = sum(count for at, count in self._emitted if at > self.now - 1.0)
        used = self.batch.pieces_in_use + self.cache.used
        return LoadReport(
            engine=EngineId(self.settings.name),
            incarnation=self.incarnation,
            age_s=0.0,
            role=self.role,
            queued_prefill_tokens=self.batch.queued_prefill_tokens,
            running=self.batch.running,
            batch_limit=self.batch.limit,
            pieces_total=self.settings.pieces,
            pieces_free=max(0, self.settings.pieces - used),
            prefill_tokens_per_s=self.settings.prefill_tokens_per_s,
            decode_tokens_per_s=float(recent),
        )
