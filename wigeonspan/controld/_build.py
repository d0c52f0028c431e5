"""Builders of the parts of the control daemon."""

import random
from collections.abc import Callable
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.web import Application

from wigeonspan.calls import CloseCall, OpenCall
from wigeonspan.catalog import Member
from wigeonspan.common import Clock, Metrics, encode
from wigeonspan.consensus import BootstrapMember, LogTask
from wigeonspan.controld._backend import Backend
from wigeonspan.controld._duties import (
    Duty,
    LeaderDuties,
    expire_calls,
    note_authority,
    register_members,
)
from wigeonspan.controld._handlers import (
    CLOSE_CALL_PATH,
    OPEN_CALL_PATH,
    CallHandler,
)
from wigeonspan.controld._settings import ControlSettings
from wigeonspan.controld._state import ControlState
from wigeonspan.distribution import Distributor
from wigeonspan.distribution.tasks import SYNC_PATH, SyncHandler
from wigeonspan.hostlist.tasks import HostListPoller
from wigeonspan.orders.tasks import OrdersTask
from wigeonspan.planning import PlannerTask
from wigeonspan.record.tasks import RECORD_PATH, RecordHandler

LOG_FOLDER = "log"
"""Folder of the replicated log in the data folder."""

RECORD_FOLDER = "record"
"""Folder of the record in the data folder."""

DistributorSource = Callable[[], Distributor | None]
"""Returns the distributor of the current term, or None when not leading."""


def build_state(settings: ControlSettings) -> ControlState:
    """Return the replicated state of this host."""
    return ControlState(Path(settings.data_folder) / RECORD_FOLDER)


def build_log(
    settings: ControlSettings,
    state: ControlState,
    clock: Clock,
    rng: random.Random,
    client: CurlAsyncHTTPClient,
) -> LogTask:
    """Return the replicated log of this host."""
    first = [
        BootstrapMember(member.host, member.address, member.domain)
        for member in settings.members
    ]
    return LogTask(
        settings.host,
        settings.address,
        settings.domain,
        first,
        Path(settings.data_folder) / LOG_FOLDER,
        state,
        clock,
        rng,
        client,
    )


def build_duties(
    settings: ControlSettings,
    log: LogTask,
    state: ControlState,
    clock: Clock,
    client: CurlAsyncHTTPClient,
    metrics: Metrics,
) -> LeaderDuties:
    """Return the duties of a leader."""
    address = operators_addresses(settings, state)

    def duties(distributor: Distributor) -> dict[str, Duty]:
        orders = OrdersTask(
            log, state.catalog, state.orders, lambda: distributor, clock
        )
        planner = PlannerTask(
            log, state.catalog.objects, lambda: distributor.samples, encode, clock
        )
        named: dict[str, Duty] = {
            "authority": note_authority(log, settings.host, clock),
            "members": register_members(log, state.catalog, address, clock),
            "calls": expire_calls(log, state.calls, clock),
            "orders": orders.run,
            "planning": planner.run,
        }
        if settings.host_list:
            named["host list"] = HostListPoller(
                settings.host_list,
                settings.host_list_interval_s,
                log,
                state.catalog,
                client,
                clock,
            ).run
        return named

    return LeaderDuties(log, state.catalog, clock, duties, metrics)


def build_backend(
    settings: ControlSettings,
    log: LogTask,
    state: ControlState,
    distributor: DistributorSource,
    clock: Clock,
    client: CurlAsyncHTTPClient,
    metrics: Metrics,
) -> Backend:
    """Return the operators' view of this host."""
    address = operators_addresses(settings, state)
    return Backend(
        settings.host, log, state, distributor, address, clock, client, metrics
    )


def build_routes(
    log: LogTask,
    state: ControlState,
    distributor: DistributorSource,
    clock: Clock,
) -> Application:
    """Return the internal HTTP routes."""
    sync = {"log": log, "distributor": distributor, "clock": clock}
    opened = {"kind": OpenCall, "log": log, "clock": clock}
    closed = {"kind": CloseCall, "log": log, "clock": clock}
    routes = [
        (SYNC_PATH, SyncHandler, sync),
        (OPEN_CALL_PATH, CallHandler, opened),
        (CLOSE_CALL_PATH, CallHandler, closed),
        (RECORD_PATH, RecordHandler, {"book": state.record}),
    ]
    return Application([*log.handlers(), *routes], log_function=lambda handler: None)


def operators_addresses(
    settings: ControlSettings, state: ControlState
) -> Callable[[Member], str]:
    """Return a function that finds the operators' address of a member.

    The log knows internal addresses only. The address comes from the configuration,
    where an operator or the first leader put it, or from the settings.
    """
    first = {member.host: member.operators for member in settings.members}

    def find(member: Member) -> str:
        known = state.catalog.get("member", member.name)
        if isinstance(known, Member) and known.operators_address:
            return known.operators_address
        return member.operators_address or first.get(member.name, "")

    return find
