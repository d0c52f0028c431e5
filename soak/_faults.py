"""Injection of the faults of a schedule."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from standin import (
    GRACE_S,
    DutyFaults,
    EngineSpeed,
    InjectedFaults,
    Replica,
    Role,
)

from soak._evidence import STOPPED, Departure, Scope
from soak._launch import Impairment
from soak._operators import Operators
from soak._prompt_mix import draw_prompt_mix
from soak._proxy import MAX_DELAY_S, Link
from soak._schedule import Fault, FaultKind
from soak._target_faults import (
    DUTY_FAULTS,
    INJECTED_FAULTS,
    SILENT_MOMENTS,
    brief_slowdown,
    draw_speeds,
)
from soak._traffic import Traffic
from soak._world import MODELS, Host, World
from wigeonspan.consensus._transport import RAFT_PATH

DRAIN_SERVING_S = 4.0
"""Shortest time in seconds that a leaving target continues to serve; it is slightly
longer than the shortest time for which it is listed as leaving."""

RECLAIM_NOTICE_S = 2.5
"""Seconds from the notice of a reclaim until the targets are gone."""

REPLACEMENT_DELAY_S = 1.0
"""Seconds between the loss of a control host and the start of its replacement."""

INTERPRETER_START_S = 0.5
"""Seconds that Python takes to start a program; a SIGHUP before that ends it."""

MAX_CLOCK_STEP_S = 7.0
"""Largest step of the wall clock in seconds, in either direction."""

MAX_BURST_STREAMS = 40
"""Number of streams of a burst at full strength."""

MAX_NAMED_LIMIT = 4.0
"""Largest limit in requests a second, above the smallest one of 0.5."""

SERVICE_WIDE_STRENGTH = 0.6
"""Strength above which all targets of a service have the fault at the same time."""

STORM_CONFIGS = 5
"""Number of configurations sent in quick succession."""

SERIES_INTERVAL_S = 0.35
"""Seconds between the versions that are sent while a control host is cut off."""

MAX_ROLL_GAP_S = 4.0
"""Largest time in seconds between two stops of entries in turn; a stop takes up to
eight, so that they overlap."""

LONG_STREAMS_S = 18.0
"""Seconds for which long streams are sent around the stops."""

SLOW_STREAM_SHARE = 0.04
"""Share of the streams that take four times as long as the others, around stops under
late requests."""

ADDED_ENGINES = 5
"""Engines that are added for late requests. In two trials without them, one entry
refused 48 requests because no slot was free; few streams were left to be cut."""

ADDED_ENGINES_S = 4.0
"""Seconds until they have changed to the decode phase."""

MIN_LATE_ROLL_GAP_S = 0.5
MAX_LATE_ROLL_GAP_S = 4.0
"""Bounds of the seconds between two such stops."""

CONNECT_AHEAD_S = 2.0
"""Seconds before a stop signal at which the connections of late requests are opened; in
this time, the entry also sees slow streams."""

MAX_CHANGE_GAP_S = 2.0
"""Largest time in seconds between two configurations that are sent beside them."""

FaultHandler = Callable[[Fault], Awaitable[None]]


class Faults:
    """Injects the faults of a run.

    Parameters
    ----------
    rng : random.Random
        Source of random decisions that the schedule does not make.
    """

    def __init__(
        self, world: World, traffic: Traffic, operators: Operators, rng: random.Random
    ) -> None:
        self._world = world
        self._traffic = traffic
        self._operators = operators
        self._rng = rng
        self._handlers: dict[FaultKind, FaultHandler] = {
            FaultKind.ENTRY_KILL: self._kill,
            FaultKind.ENTRY_FREEZE: self._freeze,
            FaultKind.ENTRY_STOP: self._stop,
            FaultKind.ENTRY_ROLL: self._roll_entries,
            FaultKind.LATE_ROLL: self._roll_under_late_requests,
            FaultKind.ENTRY_RELOAD: self._reload,
            FaultKind.ENTRY_ADD: self._add_entry,
            FaultKind.CONTROL_KILL: self._kill,
            FaultKind.CONTROL_FREEZE: self._freeze,
            FaultKind.CONTROL_STOP: self._stop,
            FaultKind.CONTROL_RELOAD: self._reload,
            FaultKind.CONTROL_WIPE: self._wipe,
            FaultKind.CONTROL_REPLACE: self._replace,
            FaultKind.CORE_KILL: self._kill_core,
            FaultKind.CONTROL_CUT: self._cut_from_group,
            FaultKind.DISK_SLOW: self._disturb_disk,
            FaultKind.DISK_FULL: self._disturb_disk,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.LINK_DELAY: self._disturb_link,
            FaultKind.LINK_RESET: self._disturb_link,
            FaultKind.LINK_CUT_IN: self._disturb_link,
            FaultKind.LINK_CUT_OUT: self._disturb_link,
            FaultKind.LINK_SILENT: self._disturb_link,
            FaultKind.LIST_SILENT: self._silence_list,
            FaultKind.LIST_STALE: self._serve_stale_list,
            FaultKind.TARGET_CRASH: self._crash_target,
            FaultKind.TARGET_RESTART: self._crash_target,
            FaultKind.ZONE_CRASH: self._crash_target,
            FaultKind.TARGET_DRAIN: self._drain_target,
            FaultKind.TARGET_LIMITS: self._limit_requests,
            FaultKind.TARGET_SILENT: self._silence_targets,
            FaultKind.PROMPT_CRASH: self._send_crashing_prompts,
            **dict.fromkeys(INJECTED_FAULTS, self._set_injected_faults),
            FaultKind.BURST: self._burst,
            FaultKind.CONFIG_CHANGE: self._change_config,
            FaultKind.CONFIG_STORM: self._change_config,
            FaultKind.CONFIG_RACE: self._change_config,
            FaultKind.CONFIG_INVALID: self._change_config,
            FaultKind.KEY_REVOKE: self._revoke_key,
            **dict.fromkeys(DUTY_FAULTS, self._disturb_duties),
            FaultKind.RECLAIM: self._reclaim,
            FaultKind.UNEVEN_SPEEDS: self._set_speeds,
            FaultKind.BRIEF_SLOWDOWN: self._slow_briefly,
            FaultKind.SLOW_READERS: self._send_to_slow_readers,
        }

    async def run(self, faults: tuple[Fault, ...], began: float) -> None:
        """Inject all faults at their times after the start of traffic."""

        async def inject(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
            await self._handlers[fault.kind](fault)

        await asyncio.gather(*(inject(fault) for fault in faults))

    async def finish(self, kind: FaultKind) -> None:
        """Kill all control hosts at once, then restart them.

        With ``ENTRY_KILL`` also all entries are killed and restarted.
        """
        hosts = list(self._world.controls)
        if kind is FaultKind.ENTRY_KILL:
            hosts += self._world.entries
        await self._kill_all([host for host in hosts if not host.removed], 0.5)

    def _hosts(self, role: Role) -> list[Host]:
        world = self._world
        hosts = world.controls if role is Role.CONTROL else world.entries
        return [host for host in hosts if not host.removed]

    def _host(self, fault: Fault) -> Host:
        is_control = fault.kind.name.startswith(("CONTROL", "DISK"))
        hosts = self._hosts(Role.CONTROL if is_control else Role.ENTRY)
        return hosts[fault.victim % len(hosts)]

    def _target(self, fault: Fault) -> Replica:
        return self._world.targets[fault.victim % len(self._world.targets)]

    async def _kill(self, fault: Fault) -> None:
        await self._kill_all([self._host(fault)], fault.lasts_s)

    async def _kill_core(self, fault: Fault) -> None:
        await self._kill_all(self._hosts(Role.CONTROL), min(fault.lasts_s, 1.0))

    async def _kill_all(self, hosts: list[Host], down_s: float) -> None:
        now = time.monotonic()
        for host in hosts:
            self._world.record_host_disturbance(host, "killed", now, now + down_s)
            self._world.kill_host(host)
        await asyncio.sleep(down_s)
        for host in hosts:
            self._start(host)

    def _start(self, host: Host) -> None:
        """Start a host unless it runs already or was removed by another fault."""
        if not host.machine.is_running and not host.removed:
            self._world.start_host(host)

    async def _freeze(self, fault: Fault) -> None:
        host, now = self._host(fault), time.monotonic()
        self._world.record_host_disturbance(host, "frozen", now, now + fault.lasts_s)
        host.machine.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts_s)
        host.machine.signal(signal.SIGCONT)

    async def _stop(self, fault: Fault) -> None:
        await self._stop_host(self._host(fault))

    async def _roll_entries(self, fault: Fault) -> None:
        """Stop all entries but one in turn while callers send long streams."""
        streams = asyncio.create_task(self._traffic.send_long_streams(LONG_STREAMS_S))
        stops = []
        for host in self._hosts(Role.ENTRY)[1:]:
            stops.append(asyncio.create_task(self._stop_host(host)))
            await asyncio.sleep(0.5 + MAX_ROLL_GAP_S * fault.strength)
        await asyncio.gather(streams, *stops)

    async def _roll_under_late_requests(self, fault: Fault) -> None:
        """Stop all entries but one in turn under requests on connections from before.

        Beside them some streams are slow, and in half of the cases the configuration
        changes.
        """
        for _ in range(ADDED_ENGINES):
            name = f"engine-{len(self._world.targets)}"
            await self._world.add_target(MODELS, name)
        await asyncio.sleep(ADDED_ENGINES_S)
        engines = self._engines()
        for engine in engines:
            engine.injected_faults = InjectedFaults(slow_rate=SLOW_STREAM_SHARE)
        stopping = asyncio.create_task(self._stop_all_under_late_requests())
        while fault.strength < 0.5 and not stopping.done():
            await self._operators.change()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_CHANGE_GAP_S))
        await stopping
        for engine in engines:
            engine.injected_faults = InjectedFaults()

    async def _stop_all_under_late_requests(self) -> None:
        stops = []
        for host in self._hosts(Role.ENTRY)[1:]:
            stops.append(asyncio.create_task(self._stop_under_late_requests(host)))
            gap_s = self._rng.uniform(MIN_LATE_ROLL_GAP_S, MAX_LATE_ROLL_GAP_S)
            await asyncio.sleep(gap_s)
        await asyncio.gather(*stops)

    async def _stop_under_late_requests(self, host: Host) -> None:
        stop_at = time.monotonic() + CONNECT_AHEAD_S
        self._traffic.send_late_requests(self._world.direct_address(host), stop_at)
        await asyncio.sleep(CONNECT_AHEAD_S)
        await self._stop_host(host)

    async def _cut_from_group(self, fault: Fault) -> None:
        """Cut a control host off from the others while versions follow each other.

        Entries, callers and operators reach it all the time.
        """
        host = self._host(fault)
        self._record_cut(host, "cut off from its group")
        host.link.state.cut_request = f"POST {RAFT_PATH} ".encode()
        end = time.monotonic() + fault.lasts_s
        while time.monotonic() < end:
            await asyncio.gather(
                self._operators.change(), asyncio.sleep(SERIES_INTERVAL_S)
            )
        host.link.state.cut_request = b""
        self._record_cut(host, "joined with its group")

    def _record_cut(self, host: Host, what: str) -> None:
        now = time.monotonic()
        self._world.record_host_disturbance(host, what, now, now)

    async def _stop_host(self, host: Host) -> None:
        now = time.monotonic()
        if host.planned_end:
            return
        self._world.record_host_disturbance(
            host, STOPPED, now, now + GRACE_S, planned=True
        )
        self._world.stop_host(host)
        while host.machine.is_running and time.monotonic() - now < GRACE_S:
            await asyncio.sleep(0.05)
        self._world.kill_host(host)
        self._start(host)

    async def _reload(self, fault: Fault) -> None:
        host, now = self._host(fault), time.monotonic()
        self._world.write_settings()
        running_s = now - host.started_at
        if fault.strength < 0.5 and running_s > INTERPRETER_START_S:
            self._world.record_host_disturbance(
                host, "reloaded", now, now, planned=True
            )
            host.machine.signal(signal.SIGHUP)

    async def _add_entry(self, fault: Fault) -> None:
        host = await self._world.add_host(Role.ENTRY)
        self._world.write_settings()
        self._world.start_host(host)

    async def _wipe(self, fault: Fault) -> None:
        host, now = self._host(fault), time.monotonic()
        self._world.record_host_disturbance(host, "wiped", now, now + fault.lasts_s)
        self._world.kill_host(host)
        host.machine.delete_data()
        await asyncio.sleep(fault.lasts_s)
        self._world.write_settings()
        self._start(host)

    async def _replace(self, fault: Fault) -> None:
        host, now = self._host(fault), time.monotonic()
        self._world.record_host_disturbance(
            host, "replaced", now, now + REPLACEMENT_DELAY_S
        )
        self._world.kill_host(host)
        host.removed = True
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        new = await self._world.add_host(Role.CONTROL)
        self._world.write_settings()
        self._world.start_host(new)

    async def _disturb_disk(self, fault: Fault) -> None:
        host, now = self._host(fault), time.monotonic()
        self._world.record_host_disturbance(
            host, fault.kind.value, now, now + fault.lasts_s
        )
        slow = fault.kind is FaultKind.DISK_SLOW
        impairment = (
            Impairment(sync_takes_s=fault.strength)
            if slow
            else Impairment(disk_full=True)
        )
        self._world.set_impairment(host, impairment)
        await asyncio.sleep(fault.lasts_s)
        self._world.set_impairment(host, Impairment())

    async def _step_clock(self, fault: Fault) -> None:
        hosts = self._hosts(Role.CONTROL) + self._hosts(Role.ENTRY)
        host, now = hosts[fault.victim % len(hosts)], time.monotonic()
        ahead_s = (fault.strength * 2.0 - 1.0) * MAX_CLOCK_STEP_S
        self._world.record_host_disturbance(host, "clock stepped", now, now)
        self._world.set_impairment(host, Impairment(clock_ahead_s=ahead_s))
        await asyncio.sleep(fault.lasts_s)
        self._world.set_impairment(host, Impairment())
        now = time.monotonic()
        self._world.record_host_disturbance(host, "clock stepped back", now, now)

    async def _disturb_link(self, fault: Fault) -> None:
        links = self._world.links[fault.link]
        link = links[fault.victim % len(links)]
        scope = {
            "entry": Scope.HOST,
            "control": Scope.CORE,
            "target": Scope.TARGETS,
            "list": Scope.LIST,
        }[fault.link]
        now = time.monotonic()
        disturbance = self._world.evidence.record_disturbance(
            scope, link.name, fault.kind.value, now, now + fault.lasts_s
        )
        await self._apply_link_fault(link, fault)
        disturbance.until = time.monotonic()

    async def _apply_link_fault(self, link: Link, fault: Fault) -> None:
        state = link.state
        match fault.kind:
            case FaultKind.LINK_DELAY:
                state.delay_s = MAX_DELAY_S * max(0.1, fault.strength)
            case FaultKind.LINK_RESET:
                link.reset()
                state.resets = fault.strength < 0.5
            case FaultKind.LINK_CUT_IN:
                state.cut_in = True
            case FaultKind.LINK_CUT_OUT:
                state.cut_out = True
            case FaultKind.LINK_SILENT:
                link.silence()
        await asyncio.sleep(fault.lasts_s)
        match fault.kind:
            case FaultKind.LINK_DELAY:
                state.delay_s = 0.0
            case FaultKind.LINK_RESET:
                state.resets = False
            case FaultKind.LINK_CUT_IN:
                state.cut_in = False
            case FaultKind.LINK_CUT_OUT:
                state.cut_out = False

    async def _silence_list(self, fault: Fault) -> None:
        now = time.monotonic()
        self._world.evidence.record_disturbance(
            Scope.LIST, "list", "silent", now, now + fault.lasts_s
        )
        state = self._world.list_link.state
        state.cut_out = True
        await asyncio.sleep(fault.lasts_s)
        state.cut_out = False

    async def _serve_stale_list(self, fault: Fault) -> None:
        self._world.list.set_alternating(True)
        await asyncio.sleep(fault.lasts_s)
        self._world.list.set_alternating(False)

    def _record_target_disturbance(
        self, fault: Fault, name: str, lasts_s: float
    ) -> None:
        now = time.monotonic()
        self._world.evidence.record_disturbance(
            Scope.TARGETS, name, fault.kind.value, now, now + lasts_s
        )

    async def _crash_target(self, fault: Fault) -> None:
        """Crash a target, or all of its zone, and restart what is not running later."""
        targets = [self._target(fault)]
        if fault.kind is FaultKind.ZONE_CRASH:
            zone = targets[0].entry["zone"]
            targets = [t for t in self._world.targets if t.entry["zone"] == zone]
        targets = [target for target in targets if target.running]
        for target in targets:
            self._record_target_disturbance(fault, target.name, fault.lasts_s)
            self._world.crash_target(target)
        await asyncio.sleep(fault.lasts_s)
        for target in targets:
            if fault.kind is not FaultKind.TARGET_RESTART and not target.running:
                target.rename()
            await self._restart(target)

    async def _restart(self, target: Replica) -> None:
        if not target.running:
            target.draining = False
            await target.start()

    async def _drain_target(self, fault: Fault) -> None:
        target = self._target(fault)
        same = [t for t in self._world.targets if t.service == target.service]
        active = [t for t in same if t.running and not t.draining]
        if target not in active or len(active) < 3:
            return
        target.draining = True
        shown = Departure(target.name, time.monotonic())
        self._world.evidence.departures.append(shown)
        await asyncio.sleep(DRAIN_SERVING_S + fault.lasts_s)
        if target.running:
            self._record_target_disturbance(fault, target.name, 0.0)
            target.crash()
        await asyncio.sleep(1.0)
        target.rename()
        await self._restart(target)

    def _targets(self, fault: Fault) -> list[Replica]:
        """Return the victim, or with high severity all targets of its service."""
        victim = self._target(fault)
        if fault.strength <= SERVICE_WIDE_STRENGTH:
            return [victim]
        return [t for t in self._world.targets if t.service == victim.service]

    async def _silence_targets(self, fault: Fault) -> None:
        """Let sound targets fall silent; this is no disturbance of them."""
        moment = self._rng.choice(SILENT_MOMENTS[self._target(fault).service])
        for target in self._targets(fault):
            target.fall_silent(moment, fault.lasts_s)
        await asyncio.sleep(fault.lasts_s)

    def _engines(self) -> list[Replica]:
        return [t for t in self._world.targets if t.service == MODELS]

    async def _set_speeds(self, fault: Fault) -> None:
        """Give engines uneven speeds; this is no disturbance of them."""
        engines = self._engines()
        for engine, speed in zip(
            engines, draw_speeds(fault, len(engines)), strict=True
        ):
            engine.speed = speed
        await asyncio.sleep(fault.lasts_s)
        for engine in engines:
            engine.speed = EngineSpeed()

    async def _slow_briefly(self, fault: Fault) -> None:
        """Slow an engine down for a moment; this is no disturbance of it."""
        engines = self._engines()
        engine = engines[fault.victim % len(engines)]
        engine.brief_slowdown = brief_slowdown(fault.strength)
        await asyncio.sleep(fault.lasts_s)
        engine.brief_slowdown = 1.0

    async def _send_crashing_prompts(self, fault: Fault) -> None:
        mix = draw_prompt_mix(fault, self._rng)
        self._world.evidence.journal.crashing_parts.update(mix.culprits)
        await self._traffic.send_prompts(mix, fault.lasts_s)

    async def _set_injected_faults(self, fault: Fault) -> None:
        targets, severity = self._targets(fault), max(0.2, fault.strength)
        for target in targets:
            self._record_target_disturbance(fault, target.name, fault.lasts_s)
            target.injected_faults = INJECTED_FAULTS[fault.kind](severity)
        await asyncio.sleep(fault.lasts_s)
        for target in targets:
            target.injected_faults = InjectedFaults()

    async def _limit_requests(self, fault: Fault) -> None:
        """Let a target, or with high severity its service, name a limit."""
        targets, rate = self._targets(fault), 0.5 + MAX_NAMED_LIMIT * fault.strength
        for target in targets:
            self._record_target_disturbance(fault, target.name, fault.lasts_s)
            target.set_limit(rate)
        await asyncio.sleep(fault.lasts_s)
        for target in targets:
            target.set_limit(0.0)

    async def _revoke_key(self, fault: Fault) -> None:
        await self._operators.revoke_key(fault.victim)

    async def _disturb_duties(self, fault: Fault) -> None:
        calls = self._world.evidence.duty_calls
        assert calls is not None
        calls.faults = DUTY_FAULTS[fault.kind](max(0.2, fault.strength))
        await asyncio.sleep(fault.lasts_s)
        calls.faults = DutyFaults()

    async def _reclaim(self, fault: Fault) -> None:
        """Take the reclaimable targets away after a notice, and bring new ones."""
        targets = [
            t for t in self._world.targets if t.is_reclaimable and not t.draining
        ]
        for target in targets:
            target.draining = True
        await asyncio.sleep(RECLAIM_NOTICE_S)
        for target in targets:
            self._record_target_disturbance(fault, target.name, 0.0)
            if target.running:
                target.crash()
        await asyncio.sleep(1.0 + fault.lasts_s)
        for target in targets:
            target.rename()
            await self._restart(target)

    async def _burst(self, fault: Fault) -> None:
        streams = max(5, round(MAX_BURST_STREAMS * fault.strength))
        await self._traffic.burst(streams, fault.lasts_s)

    async def _send_to_slow_readers(self, fault: Fault) -> None:
        await self._traffic.send_to_slow_readers(fault.lasts_s)

    async def _change_config(self, fault: Fault) -> None:
        operators = self._operators
        match fault.kind:
            case FaultKind.CONFIG_STORM:
                for _ in range(STORM_CONFIGS):
                    await operators.change()
            case FaultKind.CONFIG_RACE:
                await asyncio.gather(operators.change(), operators.change())
            case FaultKind.CONFIG_INVALID:
                await operators.send_invalid()
            case _:
                await operators.change()
