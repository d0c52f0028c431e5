"""Duties of a control host towards the platform: metered use and replicas."""

from collections.abc import Awaitable, Callable

from wigeonspan.common import Clock, HostId, ServiceName
from wigeonspan.controlstate import ControlStateMachine, DutyCommand
from wigeonspan.coordinator._decoded import DecodedConfig
from wigeonspan.duties import DutyPort, DutySettings
from wigeonspan.fleetconfig import FleetConfig
from wigeonspan.presence import Beat
from wigeonspan.scaling import ScalingTask
from wigeonspan.staging import Authority, DemandMeter
from wigeonspan.targets import TargetTable
from wigeonspan.trail import EventLog, ProcessMetrics
from wigeonspan.usage import UsageTask, UsageTimes


class Duties:
    """Tasks of the duties that the settings name; none of them by default.

    Parameters
    ----------
    host : HostId
        This host, as the holder of the duties.
    port : DutyPort or None
        Port for the calls; None when the host has no duty.
    decoded : DecodedConfig or None
        Newest configuration; None when it is not decoded.
    authority : callable
        Returns the authority to call the platform, or None if there is none.
    propose : callable
        Commits a command to the replicated log.
    targets : TargetTable
        Targets of the latest list.
    meter : DemandMeter
        Demand of all requests.
    """

    def __init__(
        self,
        host: HostId,
        settings: DutySettings,
        clock: Clock,
        port: DutyPort | None,
        state: ControlStateMachine,
        decoded: DecodedConfig | None,
        authority: Callable[[], Authority | None],
        propose: Callable[[DutyCommand], Awaitable[None]],
        targets: TargetTable,
        meter: DemandMeter,
        event_log: EventLog,
        metrics: ProcessMetrics,
    ) -> None:
        self._clock = clock
        self._state = state
        self._decoded = decoded
        self._urgent_meter = DemandMeter()
        self._usage: UsageTask | None = None
        self._scaling: ScalingTask | None = None
        if port is not None and settings.reports_usage:
            self._usage = UsageTask(
                host,
                clock,
                port,
                state.usage,
                authority,
                self._has_tenants,
                propose,
                UsageTimes(
                    round(settings.window_s * 1000), round(settings.due_s * 1000)
                ),
                event_log,
                metrics,
            )
        if port is not None and settings.orders_replicas:
            self._scaling = ScalingTask(
                host,
                clock,
                port,
                state.scaling,
                authority,
                self._config,
                propose,
                targets,
                meter,
                self._urgent_meter,
                event_log,
                metrics,
            )

    @property
    def runs(self) -> list[Callable[[], Awaitable[None]]]:
        """Functions that run the tasks until they are cancelled."""
        return [task.run for task in (self._usage, self._scaling) if task is not None]

    def record(self, beat: Beat) -> None:
        """Record the use and the urgent demand in a heartbeat of an entry."""
        now = self._clock.now()
        for service, read_ms in beat.urgent_read_ms.items():
            stream_s = beat.urgent_stream_s.get(service, 0.0)
            self._urgent_meter.record(beat.entry.host, service, read_ms, stream_s, now)
        if self._usage is not None and beat.usage is not None:
            self._usage.record(beat.entry.host, beat.usage)

    def orders_replicas_of(self, service: ServiceName) -> bool:
        """Return whether the number of a service's replicas is ordered by demand."""
        config = self._config() if self._scaling is not None else None
        spec = None if config is None else config.service(service)
        return spec is not None and spec.scaling is not None

    def _has_tenants(self) -> bool:
        config = self._config()
        return config is not None and config.tenants is not None

    def _config(self) -> FleetConfig | None:
        """Return the newest committed configuration that can be decoded."""
        return (
            None if self._decoded is None else self._decoded.update(self._state.stored)
        )
