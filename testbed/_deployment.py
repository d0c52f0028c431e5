"""A deployment of control daemons, entries, engines and a plain service."""

import http.client
import json
import time
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import yaml
from msgspec import Struct

from testbed._processes import DeploymentError, ProcessGroup, free_ports, run_ctl

FAILURE_DOMAINS = ("ipoh-utara", "ipoh-selatan", "batu-gajah")
"""Failure domains over which the hosts are spread."""

MODEL_SERVICE = "model-huraian"
"""Name of the model service of the deployment, and of its model."""

PLAIN_SERVICE = "daftar-plat"
"""Name of the plain (non-model) service of the deployment."""

READY_TIMEOUT_S = 30.0
"""Maximum wait for a condition, in seconds; a leader election takes about 2.5 s."""


class DeploymentOptions(Struct, frozen=True):
    """Number of processes of each kind and options of the engines.

    Parameters
    ----------
    controls, entries, engines : int
        Number of control daemons, entry daemons and stand-in engines.
    engine_options : tuple of str
        Additional command line options of each stand-in engine.
    entry_settings : dict
        Additional settings of each entry daemon.
    """

    controls: int = 3
    entries: int = 2
    engines: int = 2
    engine_options: tuple[str, ...] = ("--token_interval_s=0.02", "--order_s=0.5")
    entry_settings: dict[str, object] = {}


class Deployment:
    """Deployment of real processes on loopback, with its settings in one folder.

    Parameters
    ----------
    processes : ProcessGroup
        Starts and stops the processes.
    folder : Path
        Folder for settings files and data folders.
    options : DeploymentOptions
        Number of processes and engine options.

    Attributes
    ----------
    internal, operators : list of str
        Addresses of the control daemons for other daemons and for operators.
    entries, engines : list of str
        Addresses of the entry daemons and of the started engines.
    plain : str
        Address of the plain service; empty until it is started.
    """

    def __init__(
        self, processes: ProcessGroup, folder: Path, options: DeploymentOptions
    ) -> None:
        self.processes = processes
        self.options = options
        self._folder = folder
        ports = free_ports(2 * options.controls + options.entries)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        count = options.controls
        self.internal = addresses[:count]
        self.operators = addresses[count : 2 * count]
        self.entries = addresses[2 * count :]
        self.engines: list[str] = []
        self.plain = ""

    def start(self) -> None:
        """Start all processes, configure them and wait until they serve requests."""
        self.start_targets()
        self.start_daemons()
        self.configure()
        self.wait_serving()

    def start_targets(self, empty: Collection[int] = ()) -> None:
        """Start the engines and the plain service.

        Parameters
        ----------
        empty : collection of int
            Indexes, from 0, of the engines to start without a model.
        """
        for number in range(self.options.engines):
            model = "" if number in empty else MODEL_SERVICE
            self.engines.append(self.start_engine(number, model=model))
        self.plain = self.processes.start_standin(PLAIN_SERVICE, "standins.plain")

    def start_daemons(self) -> None:
        """Start the control and entry daemons and wait for a leader."""
        for number in range(self.options.controls):
            self.start_control(number)
        for number in range(self.options.entries):
            self.start_entry(number)
        self.wait_until("a leader", self.leader)

    def configure(self) -> None:
        """Apply the configuration with ``wigeonspan-ctl``."""
        self.ctl("apply-file", str(self._write("objects", self._config_objects())))

    def wait_serving(self) -> None:
        """Wait until engines and entries are ready.

        All engines serve, the directory lists all entries, and all entries have
        confirmed the current configuration version.
        """
        self.wait_until("all engines to be serving", self._all_engines_serving)
        self.wait_until("the directory to list all entries", self._all_entries_listed)
        version = max(each["version"] for each in self.status().values())
        # The command fails until all entries have confirmed the version.
        self.wait_until(
            "all entries to confirm the version",
            lambda: self.show("in-force", str(version)),
        )

    def start_control(self, number: int) -> None:
        """Start a control daemon, or restart it on its existing data folder."""
        path = self._write(f"control-{number + 1}", self._control_settings(number))
        self.processes.start(path.stem, "wigeonspan.controld.main", "run", str(path))

    def start_entry(self, number: int) -> None:
        """Start or restart an entry daemon."""
        settings = {
            "host": f"entry-{number + 1}",
            "domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "address": self.entries[number],
            "control": self.internal,
            **self.options.entry_settings,
        }
        path = self._write(f"entry-{number + 1}", settings)
        self.processes.start(path.stem, "wigeonspan.entryd.main", "run", str(path))

    def start_engine(
        self, number: int, *, port: int = 0, model: str = MODEL_SERVICE
    ) -> str:
        """Start a stand-in engine and return its address."""
        name = f"engine-{number + 1}"
        command = [f"--name={name}", f"--model={model}", "--model_version=1"]
        options = [*command, *self.options.engine_options]
        return self.processes.start_standin(
            name, "standins.engine", *options, port=port
        )

    def ctl(self, *args: str, reason: str = "set up the testbed") -> str:
        """Make a change with ``wigeonspan-ctl`` and return the output."""
        return run_ctl(",".join(self.operators), "testbed", reason, *args)

    def show(self, *args: str) -> str:
        """Make a query with ``wigeonspan-ctl`` and return the output."""
        return run_ctl(",".join(self.operators), "", "", *args)

    def query(self, *args: str) -> Any:
        """Make a query with ``wigeonspan-ctl`` and return the decoded JSON output."""
        return json.loads(self.show(*args, "--output=json"))

    def status(self) -> dict[str, Any]:
        """Return the status of each reachable control daemon, by operator address."""
        answers = self.query("status")
        # An unreachable daemon has an error message in place of its status.
        return {a: each for a, each in answers.items() if isinstance(each, dict)}

    def leader(self) -> str | None:
        """Return the host name of the leading control daemon, or None."""
        leaders = [
            each["host"] for each in self.status().values() if each["lease_valid"]
        ]
        return leaders[0] if leaders else None

    def wait_until(
        self,
        condition: str,
        probe: Callable[[], Any],
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Any:
        """Call a probe every 0.1 s until it returns a true value, and return that.

        A ``DeploymentError`` or connection error of the probe counts as false. Raises
        ``DeploymentError`` on timeout, or when a process of the deployment exits.
        """
        deadline = time.monotonic() + timeout_s
        failure = ""
        while time.monotonic() < deadline:
            self.processes.check_all_running()
            try:
                found = probe()
                failure = ""
            except (DeploymentError, OSError, http.client.HTTPException) as error:
                found, failure = None, f" ({error})"
            if found:
                return found
            time.sleep(0.1)
        raise DeploymentError(
            f"timed out after {timeout_s:.0f} s waiting for {condition}{failure}"
        )

    def get_json(self, address: str, path: str) -> Any:
        """Send a GET request and return the decoded JSON body."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        if response.status != 200:
            raise DeploymentError(
                f"GET {address}{path}: status {response.status}: {body.decode()}"
            )
        return json.loads(body)

    def set_fault(self, address: str, fault: dict[str, Any]) -> None:
        """Set the injected faults of a stand-in; an empty mapping clears them."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            connection.request("POST", "/standin/fault", json.dumps(fault))
            status = connection.getresponse().status
        finally:
            connection.close()
        if status != 200:
            raise DeploymentError(
                f"{address} rejected the fault settings with status {status}"
            )

    def _all_engines_serving(self) -> bool:
        listed = self.query("list", "engine")
        phases = [each["phase"] for each in listed]
        return len(phases) == self.options.engines and set(phases) == {"serving"}

    def _all_entries_listed(self) -> bool:
        answer = self.get_json(self.entries[0], "/v1/directory")
        return len(answer["entries"]) == self.options.entries

    def _config_objects(self) -> list[dict[str, Any]]:
        service = {
            "kind": "model_service",
            "name": MODEL_SERVICE,
            "model": MODEL_SERVICE,
        }
        plain = {
            "kind": "plain_service",
            "name": PLAIN_SERVICE,
            "targets": [{"address": self.plain, "domain": FAILURE_DOMAINS[0]}],
            "non_idempotent": ["POST /loans"],
        }
        objects: list[dict[str, Any]] = [
            {"kind": "tenant", "name": "archive", "rate_per_s": 10_000.0},
            {"kind": "model_version", "model": MODEL_SERVICE, "label": "1"},
            service | {"model_version": "1"},
            plain,
        ]
        for number, address in enumerate(self.entries):
            entry = {"kind": "entry_host", "name": f"entry-{number + 1}"}
            objects.append(entry | _location(number, address))
        for number, address in enumerate(self.engines):
            engine = {"kind": "engine", "name": f"engine-{number + 1}"}
            objects.append(
                engine | {"service": MODEL_SERVICE} | _location(number, address)
            )
        return objects

    def _control_settings(self, number: int) -> dict[str, Any]:
        members = [
            {
                "host": f"control-{n + 1}",
                "domain": FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)],
                "address": self.internal[n],
                "operators": self.operators[n],
            }
            for n in range(self.options.controls)
        ]
        folder = str(self._folder / f"data-control-{number + 1}")
        return members[number] | {"data_folder": folder, "members": members}

    def _write(self, name: str, data: Any) -> Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(data, sort_keys=False))
        return path


def _location(number: int, address: str) -> dict[str, str]:
    return {
        "address": address,
        "domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
    }
