"""Factories for the components of the control daemon."""

import random
from collections.abc import Callable
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.web import Application

from wigeonspan.calls import CloseCall, OpenCall
from wigeonspan.catalog import Member
from wigeonspan.common import Clock, Metrics, encode
from wigeonspan.consensus import BootstrapMember, LogTask
from wigeonspan.controld._backend import OperatorBackend
from wigeonspan.controld._duties import (
    Duty,
    LeaderDuties,
    expire_calls,
    record_authority,
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
"""Subfolder of the data folder for the replicated log."""

RECORD_FOLDER = "record"
"""Subfolder of the data folder for the record."""

DistributorSource = Callable[[], Distributor | None]
"""Returns the distributor of the current term, or None on a follower."""


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
    bootstrap = [
        BootstrapMember(member.host, member.address, member.domain)
        for member in settings.members
    ]
    return LogTask(
        settings.host,
        settings.address,
        settings.domain,
        bootstrap,
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
    """Return the runner of the tasks that only the leader performs."""
    find_operators_address = make_address_lookup(settings, state)

    def make_duties(distributor: Distributor) -> dict[str, Duty]:
        orders = OrdersTask(
            log, state.catalog, state.orders, lambda: distributor, clock
        )
        planner = PlannerTask(
            log, state.catalog.objects, lambda: distributor.samples, encode, clock
        )
        duties_by_name: dict[str, Duty] = {
            "authority": record_authority(log, settings.host, clock),
            "members": register_members(
                log, state.catalog, find_operators_address, clock
            ),
            "calls": expire_calls(log, state.calls, clock),
            "orders": orders.run,
            "planning": planner.run,
        }
        if settings.host_list:
            duties_by_name["host list"] = HostListPoller(
                settings.host_list,
                settings.host_list_interval_s,
                log,
                state.catalog,
                client,
                clock,
            ).run
        return duties_by_name

    return LeaderDuties(log, state.catalog, clock, make_duties, metrics)


def build_backend(
    settings: ControlSettings,
    log: LogTask,
    state: ControlState,
    distributor: DistributorSource,
    clock: Clock,
    client: CurlAsyncHTTPClient,
    metrics: Metrics,
) -> OperatorBackend:
    """Return the backend of the operators' API."""
    find_operators_address = make_address_lookup(settings, state)
    return OperatorBackend(
        settings.host,
        log,
        state,
        distributor,
        find_operators_address,
        clock,
        client,
        metrics,
    )


def build_routes(
    log: LogTask,
    state: ControlState,
    distributor: DistributorSource,
    clock: Clock,
) -> Application:
    """Return the internal HTTP routes."""
    sync_args = {"log": log, "distributor": distributor, "clock": clock}
    open_args = {"kind": OpenCall, "log": log, "clock": clock}
    close_args = {"kind": CloseCall, "log": log, "clock": clock}
    routes = [
        (SYNC_PATH, SyncHandler, sync_args),
        (OPEN_CALL_PATH, CallHandler, open_args),
        (CLOSE_CALL_PATH, CallHandler, close_args),
        (RECORD_PATH, RecordHandler, {"store": state.record}),
    ]
    return Application([*log.handlers(), *routes], log_function=lambda handler: None)


def make_address_lookup(
    settings: ControlSettings, state: ControlState
) -> Callable[[Member], str]:
    """Return a function that looks up the operators' address of a member.

    The log only stores internal addresses. The operators' address comes from the
    catalog, where an operator or the first leader stored it, or else from the
    settings.
    """
    bootstrap = {member.host: member.operators for member in settings.members}

    def find(member: Member) -> str:
        registered = state.catalog.get("member", member.name)
        if isinstance(registered, Member) and registered.operators_address:
            return registered.operators_address
        return member.operators_address or bootstrap.get(member.name, "")

    return find
