"""State of the stand-in engine and execution of orders."""

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
    """Behaviour of a stand-in engine; also the options of its command line.

    Parameters
    ----------
    name : str
        Identifier of the engine.
    model, model_version : str
        Model that is loaded at the start; an empty ``model`` for none.
    role : Role
        Role at the start and after a restart.
    checks_fence : bool
        Whether orders with an outdated fencing token are refused.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Total rates of the engine, over all requests.
    token_interval_s : float
        Minimum time between two tokens of one stream.
    batch_limit : int
        Maximum number of requests in the batch.
    pieces : int
        Size of the KV memory in pieces (blocks) of 16 tokens.
    event_lag_s, event_gap_every : float, int
        Delay of cache events in seconds, and which of them are lost (every n-th; 0
        for none).
    load_lag_s : float
        Minimum time between two measurements of the load; reports repeat the last one.
    order_s : float
        Duration of an order.
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
    """Order refused with status 409; the message is ``stale_fence`` or ``busy``."""


class EngineCrashed(Exception):
    """The engine crashed while it executed an order."""


class SimulatedEngine:
    """Simulated engine that generates deterministic text, without its HTTP server.

    Parameters
    ----------
    settings : EngineSettings
        Behaviour of the engine.

    Attributes
    ----------
    handles : dict
        Tokens of each exported or imported KV cache, by handle.
    orders : list of OrderRequest
        All orders that arrived, refused ones included.
    cut_urgent, cut_batch : int
        Runs that were aborted by orders and crashes: urgent ones, and others.
    completions : int
        Completion requests that were accepted.
    dead_until : float
        Monotonic time until which no request is answered.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.remaining_fault_streams = -1
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
            self.wait_while_silent,
        )
        self._silent_until = 0.0
        self.handles: dict[str, int] = {}
        self.orders: list[OrderRequest] = []
        self.cut_urgent = 0
        self.cut_batch = 0
        self.completions = 0
        self.dead_until = 0.0
        self._highest_fence = 0
        self._withdrawn = False
        self._last_report: LoadReport | None = None
        self._measured_at = 0.0
        self._emitted: deque[tuple[float, int]] = deque(maxlen=4096)
        self._reset_state(ModelName(settings.model) if settings.model else None)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return time.monotonic()

    @property
    def is_dead(self) -> bool:
        """Whether the engine is down: it drops all connections."""
        return self.now < self.dead_until

    @property
    def is_available(self) -> bool:
        """Whether it accepts completions: it is not withdrawn and runs no order."""
        return not self.busy_order and not self._withdrawn

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace all injected faults."""
        self.faults = faults
        self.remaining_fault_streams = faults.streams
        if faults.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()
        if faults.silent_after_tokens is None:
            self.fall_silent()

    def fall_silent(self) -> None:
        """Send nothing and generate nothing for ``EngineFaults.silent_s`` seconds."""
        self._silent_until = self.now + self.faults.silent_s

    async def wait_while_silent(self) -> None:
        """Wait until the engine is not silent."""
        while (left_s := self._silent_until - self.now) > 0.0:
            await asyncio.sleep(left_s)

    def next_stream_faults(self) -> EngineFaults:
        """Return the faults for the next completion and count it against the limit."""
        if self.remaining_fault_streams == 0:
            return EngineFaults()
        self.remaining_fault_streams -= 1
        return self.faults

    def record_emitted(self, tokens: int) -> None:
        """Record that tokens were generated now, for the load report."""
        self._emitted.append((self.now, tokens))

    def serves(self, model: str) -> bool:
        """Whether a model or adapter of this name is loaded."""
        return model == self.model or model in self.adapters

    def crash(self) -> None:
        """Restart without a model: abort all runs and clear caches and adapters."""
        self._abort_all_runs("crashed")
        self.dead_until = self.now + self.faults.dead_s
        self.cache.clear()
        self.handles.clear()
        self._reset_state(None)

    def state(self) -> EngineState:
        """Return the state in the form of the engine protocol."""
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
        """Return the load with the age of its measurement.

        It is measured again once the last measurement is ``load_lag_s`` old.
        """
        age_s = self.now - self._measured_at
        if self._last_report is None or age_s >= self.settings.load_lag_s:
            self._last_report = self._measure()
            self._measured_at = self.now
            age_s = 0.0
        return structs.replace(self._last_report, age_s=age_s)

    async def execute(self, order: OrderRequest) -> EngineState:
        """Execute an order; running requests are aborted, as on a real engine.

        An order with the identifier of the last completed one has no effect.

        Raises
        ------
        OrderRefused
            When another order is running, or when fencing tokens are checked and that
            of the order is outdated.
        EngineCrashed
            When an injected fault or a restart interrupts the order.
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
        self._crash_at(crash, OrderCrash.BEFORE)
        self._abort_all_runs("order")
        self.busy_order = order.order_id
        incarnation = self.incarnation
        await asyncio.sleep(self.settings.order_s / 2)
        self._crash_at(crash, OrderCrash.PARTWAY)
        await asyncio.sleep(self.settings.order_s / 2)
        if self.incarnation != incarnation:
            raise EngineCrashed
        self._apply_order(order)
        self._crash_at(crash, OrderCrash.AFTER)
        return self.state()

    def _reset_state(self, model: ModelName | None) -> None:
        self.incarnation = uuid.uuid4().hex
        self.role = self.settings.role
        self.model = model
        self.model_version = self.settings.model_version if model else None
        self.adapters: tuple[str, ...] = ()
        self.busy_order = ""
        self.last_order = ""

    def _crash_at(self, crash: OrderCrash | None, point: OrderCrash) -> None:
        if crash is point:
            self.crash()
            raise EngineCrashed

    def _abort_all_runs(self, reason: str) -> None:
        runs: list[Run] = self.batch.runs
        urgent = sum(1 for run in runs if run.is_urgent)
        self.cut_urgent += urgent
        self.cut_batch += len(runs) - urgent
        self.batch.clear(reason)

    def _apply_order(self, order: OrderRequest) -> None:
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
        used = self.batch.pieces_in_use + self.cache.used_pieces
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
