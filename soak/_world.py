"""Environment of a run: the programs, their simulated platform, and the links."""

import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

import msgspec
from msgspec import structs
from standin import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    INTERNAL_PORT,
    READY_PORT,
    DeploymentLimits,
    DutyCalls,
    InstanceList,
    Journal,
    Machine,
    MemoryLimit,
    Replica,
    Role,
)

from soak._evidence import BY_MEMORY, BY_PROMPT, STARTED, Disturbance, Evidence, Scope
from soak._launch import BIND_VARIABLE, IMPAIRMENT_VARIABLE, Impairment
from soak._proxy import Link
from soak._schedule import Schedule
from wigeonspan.common import ServiceName
from wigeonspan.targets import Phase

MODELS = ServiceName("models")
APPS = ServiceName("apps")

LIST_PORT = 17165
TARGET_PORT = 17166

ENGINE_SLOTS = 6
"""Streams that an engine runs at once; few, so that the phases of engines change
during a run."""

ENGINE_TOKENS = 100_000
"""Tokens that fit into an engine in the configuration of runs without limited memory;
the engines themselves have no limit then."""

HANDLE_TTL_S = 5.0
"""Seconds for which an engine stores a prefilled prompt."""

RECLAIMABLE_APPS = 2
"""Reclaimable replicas of the plain service, in runs with tenants and duties."""

ENTRY_CPU_SHARE = 0.43
MAX_ENTRY_CORES = 3.0
MAX_ENTRY_MEMORY_MB = 440
MIN_ENTRY_MEMORY_MB = 160
MAX_ENTRY_DESCRIPTORS = 4096
MAX_ENTRY_MBPS = 12.5
"""Limits of the largest possible entry, and the smallest memory, as in the deployment
with uneven entries; all but the share of the processors scale with the size."""

RETRY_RATIO = 0.2
"""Retries that are allowed for each request, as in the deployments."""

RETRY_MINIMUM = 8
"""Retries that are always allowed in a window; few, so that the limit takes effect."""

CRASHED_LISTED_S = 2.0
"""Seconds for which a crashed target stays on the instance list."""

PROMPT_CRASH_DOWN_S = (1.0, 2.5)
"""Bounds of the seconds for which a target is down after a prompt crashed it."""

MEMORY_CONTRACT = "pressure"
"""Contract in the settings of runs whose engines have limited memory."""

NEW_ID_SHARE = 0.8
"""Share of such targets that come back under a new name, as new starts do."""

MAX_START_S = 6.0
"""Seconds for which a process that does not listen yet counts as starting; loading
takes that long when several runs share the processors."""


class Host(msgspec.Struct):
    """Host that runs one of the programs.

    Parameters
    ----------
    inside : str
        IP address on which the process listens, behind the link.
    impairment : Path
        File with the impairment of the process's clock and disk.
    starts : int
        Number of times that the process was started.
    start_disturbance : Disturbance or None
        Disturbance by a start that has not completed yet.
    planned_end : bool
        Whether the process was killed or told to stop.
    removed : bool
        Whether the host was removed permanently.
    """

    name: str
    machine: Machine
    link: Link
    inside: str
    impairment: Path
    starts: int = 0
    started_at: float = 0.0
    start_disturbance: Disturbance | None = None
    planned_end: bool = False
    removed: bool = False


class World:
    """Programs of a run and everything that they depend on.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    network : str
        First two bytes of the loopback addresses of this run, such as "127.1".
    """

    def __init__(self, schedule: Schedule, folder: Path, network: str) -> None:
        self.schedule = schedule
        self.evidence = Evidence(
            Journal(),
            retry_ratio=RETRY_RATIO,
            retry_minimum=RETRY_MINIMUM,
        )
        self.targets: list[Replica] = []
        self.controls: list[Host] = []
        self.entries: list[Host] = []
        self.links: dict[str, list[Link]] = {"entry": [], "control": [], "target": []}
        self._folder = folder
        self._network = network
        self._rng = random.Random(schedule.seed)
        self._restarts: set[asyncio.Task[None]] = set()
        self._crashed: dict[str, tuple[Replica, float]] = {}
        self._limits = DeploymentLimits(
            schedule.losses,
            RETRY_RATIO,
            RETRY_MINIMUM,
            duties=("usage_report", "autoscale") if schedule.has_tenants else (),
            contracts=(MEMORY_CONTRACT,) if schedule.engine_memory else (),
        )
        self._engine_memory: MemoryLimit | None = None
        if (memory := schedule.engine_memory) is not None:
            self._engine_memory = MemoryLimit(
                memory.tokens, memory.crashes, HANDLE_TTL_S
            )
        if schedule.has_tenants:
            self.evidence.duty_calls = DutyCalls(random.Random(schedule.seed + 3))
            self.evidence.usage_window_s = self._limits.usage_window_s
            self.evidence.usage_due_s = self._limits.usage_due_s
            self.evidence.epoch_offset_s = time.time() - time.monotonic()
        self._list_address = f"{network}.2.1:{LIST_PORT}"
        self.list = InstanceList(
            f"{network}.2.2:{LIST_PORT}",
            self._list_entries,
            self.evidence.duty_calls,
        )
        self.list_link = Link("list", f"{network}.2.1", f"{network}.2.2")
        self.links["list"] = [self.list_link]

    async def start(self) -> None:
        """Start the instance list, the targets and all hosts."""
        await self.list.open()
        await self.list_link.forward(LIST_PORT)
        for number in range(self.schedule.engines):
            await self.add_target(MODELS, f"engine-{number}")
        for number in range(self.schedule.apps):
            await self.add_target(APPS, f"app-{number}")
        for number in range(RECLAIMABLE_APPS * self.schedule.has_tenants):
            await self.add_target(APPS, f"spot-{number}", reclaimable=True)
        for _ in range(self.schedule.controls):
            await self.add_host(Role.CONTROL)
        for _ in range(self.schedule.entries):
            await self.add_host(Role.ENTRY)
        self.write_settings(first=True)
        for host in (*self.controls, *self.entries):
            self.start_host(host)

    async def add_target(
        self, service: ServiceName, name: str, *, reclaimable: bool = False
    ) -> Replica:
        """Start a target of a service."""
        number = len(self.targets) + 1
        inside, outside = f"{self._network}.13.{number}", f"{self._network}.3.{number}"
        target = Replica(
            name,
            service,
            f"{inside}:{TARGET_PORT}",
            f"{outside}:{TARGET_PORT}",
            f"z{number % 3}",
            self.evidence.journal,
            self._rng,
            phase=Phase.PREFILL if service == MODELS else Phase.NONE,
            slots=ENGINE_SLOTS,
            reclaimable=reclaimable,
            memory=self._engine_memory if service == MODELS else None,
        )
        link = Link(name, outside, inside)
        await link.forward(TARGET_PORT)
        target.on_prompt_crash = lambda each: self._crash_by_itself(each, BY_PROMPT)
        target.on_memory_crash = lambda each: self._crash_by_itself(each, BY_MEMORY)
        await target.start()
        self.targets.append(target)
        self.links["target"].append(link)
        return target

    async def add_host(self, role: Role) -> Host:
        """Add a host without starting its process."""
        hosts, block = (self.controls, 0) if role is Role.CONTROL else (self.entries, 1)
        number = len(hosts) + 1
        outside = f"{self._network}.{block}.{number}"
        inside = f"{self._network}.{block + 10}.{number}"
        impairment = self._folder / f"{role.value}-{number}.trouble"
        machine = Machine(
            self._folder,
            role,
            outside,
            f"z{number % 3}",
            self._list_address,
            self._limits if role is Role.CONTROL else self._entry_limits(number),
            command=[sys.executable, "-m", "soak._launch", role.value],
            environment={BIND_VARIABLE: inside, IMPAIRMENT_VARIABLE: str(impairment)},
        )
        link = Link(f"{role.value}-{outside}", outside, inside)
        link.refused = self.evidence.refused_connections
        ports = (
            (INTERNAL_PORT, CONTROL_PORT, DIRECTORY_PORT)
            if role is Role.CONTROL
            else (FRONT_PORT, READY_PORT)
        )
        for port in ports:
            await link.forward(port)
        await link.forward_datagrams(INTERNAL_PORT + (role is Role.ENTRY))
        host = Host(link.name, machine, link, inside, impairment)
        hosts.append(host)
        self.links["control" if role is Role.CONTROL else "entry"].append(link)
        if role is Role.ENTRY:
            for address in (self.front_address(host), self.direct_address(host)):
                self.evidence.host_by_address[address] = host.name
        return host

    def _entry_limits(self, number: int) -> DeploymentLimits:
        """Return the limits of an entry, which depend on its size."""
        sizes = self.schedule.entry_sizes
        if not sizes:
            return self._limits
        size = sizes[(number - 1) % len(sizes)]
        return structs.replace(
            self._limits,
            cpu_share=ENTRY_CPU_SHARE,
            cores=round(MAX_ENTRY_CORES * size, 2),
            memory_mb=max(MIN_ENTRY_MEMORY_MB, round(MAX_ENTRY_MEMORY_MB * size)),
            max_fds=round(MAX_ENTRY_DESCRIPTORS * size),
            bandwidth_mbps=round(MAX_ENTRY_MBPS * size, 2),
        )

    def write_settings(self, *, first: bool = False) -> None:
        """Write the settings of all hosts, listing the current control hosts."""
        seeds = [host.machine.ip for host in self.controls if not host.removed]
        for host in (*self.controls, *self.entries):
            host.machine.write_settings(seeds, first=first)

    def start_host(self, host: Host) -> None:
        """Start a host's process."""
        host.starts += 1
        host.planned_end = False
        host.machine.start()
        now = time.monotonic()
        host.started_at = now
        host.start_disturbance = self.record_host_disturbance(host, STARTED, now, now)

    def kill_host(self, host: Host) -> None:
        """Kill a host's process."""
        host.planned_end = True
        host.machine.kill()

    def stop_host(self, host: Host) -> None:
        """Send SIGTERM to a host's process."""
        host.planned_end = True
        host.machine.signal(signal.SIGTERM)

    def set_impairment(self, host: Host, impairment: Impairment) -> None:
        """Set the impairment of a host's clock and disk."""
        new = host.impairment.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(impairment))
        new.replace(host.impairment)

    def record_host_disturbance(
        self,
        host: Host,
        what: str,
        begins: float,
        until: float,
        *,
        planned: bool = False,
    ) -> Disturbance:
        """Record a disturbance of a host and return it."""
        is_control = host.machine.role is Role.CONTROL
        return self.evidence.record_disturbance(
            Scope.CORE if is_control else Scope.HOST,
            host.name,
            what,
            begins,
            until,
            planned=planned,
        )

    def extend_starts(self) -> None:
        """Extend each start's disturbance until the process accepts connections."""
        for host in (*self.controls, *self.entries):
            start, now = host.start_disturbance, time.monotonic()
            if start is None or not host.machine.is_running:
                continue
            start.until = now
            if now - start.begins > MAX_START_S or _listens(host):
                host.start_disturbance = None

    def record_unexpected_exits(self) -> None:
        """Record processes that ended by themselves, and start them again."""
        for host in (*self.controls, *self.entries):
            if host.removed or host.planned_end or host.machine.is_running:
                continue
            if not host.starts:
                # The host was added but is not started yet.
                continue
            process = host.machine.process
            code = process.returncode if process is not None else None
            self.evidence.unexpected_exits.append(
                f"{host.name} ended with status {code}"
            )
            self.start_host(host)

    def crash_target(self, target: Replica) -> None:
        """Crash a target; it stays on the instance list for ``CRASHED_LISTED_S``."""
        if target.running:
            target.crash()
            self._crashed[target.name] = (target, time.monotonic() + CRASHED_LISTED_S)

    def _crash_by_itself(self, target: Replica, what: str) -> None:
        """Crash a target because of its work; restart it later."""
        now, down_s = time.monotonic(), self._rng.uniform(*PROMPT_CRASH_DOWN_S)
        self.evidence.record_disturbance(
            Scope.TARGETS, target.name, what, now, now + down_s
        )
        self.crash_target(target)
        self._restarts.add(asyncio.create_task(self._restart_after(target, down_s)))

    async def _restart_after(self, target: Replica, down_s: float) -> None:
        await asyncio.sleep(down_s)
        if not target.running:
            # Under its name, a target that was leaving would seem to leave still.
            if target.draining or self._rng.random() < NEW_ID_SHARE:
                target.rename()
            target.draining = False
            # Back in its first stage it would need an order before it can crash again.
            await target.start(keep_stage=True)

    def front_address(self, host: Host) -> str:
        """Return the address of an entry for callers."""
        return f"{host.machine.ip}:{FRONT_PORT}"

    def direct_address(self, host: Host) -> str:
        """Return the address of an entry for callers that bypass its proxy.

        The proxy would read for a caller that reads slowly.
        """
        return f"{host.inside}:{FRONT_PORT}"

    def ready_address(self, host: Host) -> str:
        """Return the address of an entry for readiness checks."""
        return f"{host.machine.ip}:{READY_PORT}"

    def control_address(self, host: Host) -> str:
        """Return the address of a control host for operators."""
        return f"{host.machine.ip}:{CONTROL_PORT}"

    def directory_address(self, host: Host) -> str:
        """Return the address of a control host's directory, for callers."""
        return f"{host.machine.ip}:{DIRECTORY_PORT}"

    def _list_entries(self) -> list[dict]:
        """Return the entries of running and recently crashed targets."""
        now = time.monotonic()
        shown = [target.entry for target in self.targets if target.running]
        for name, (target, until) in list(self._crashed.items()):
            if target.running or now > until:
                del self._crashed[name]
            else:
                shown.append(target.entry)
        return shown

    def close(self) -> None:
        """Stop everything that was started."""
        for host in (*self.controls, *self.entries):
            host.machine.signal(signal.SIGCONT)
            host.machine.kill()
        for restart in self._restarts:
            restart.cancel()
        for links in self.links.values():
            for link in links:
                link.close()
        for target in self.targets:
            if target.running:
                target.crash()
        self.list.close()
        if self.evidence.duty_calls is not None:
            self.evidence.duty_calls.close()


def _listens(host: Host) -> bool:
    """Whether a host's process accepts connections."""
    port = INTERNAL_PORT if host.machine.role is Role.CONTROL else FRONT_PORT
    with socket.socket() as probe:
        return probe.connect_ex((host.inside, port)) == 0
