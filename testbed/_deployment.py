"""A deployment of control daemons, entries, engines and a plain service."""

import http.client
import json
import time
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import yaml
from msgspec import Struct

from testbed._processes import Fleet, StepFailed, free_ports, run_ctl

DOMAINS = ("ipoh-utara", "ipoh-selatan", "batu-gajah")
"""Failure domains over which the hosts are spread."""

MODEL = "model-huraian"
"""Model service of the deployment."""

PLAIN = "daftar-plat"
"""Plain service of the deployment."""

READY_TIMEOUT_S = 30.0
"""Longest wait for the deployment to be ready; an election takes about 2.5 s."""


class Shape(Struct, frozen=True):
    """How many processes there are and how the engines behave.

    Parameters
    ----------
    engine_options : tuple of str
        Further options of each stand-in engine.
    """

    controls: int = 3
    entries: int = 2
    engines: int = 2
    engine_options: tuple[str, ...] = ("--token_interval_s=0.02", "--order_s=0.5")


class Deployment:
    """Real processes on loopback, with their settings in one folder.

    Parameters
    ----------
    fleet : Fleet
        Owner of the processes.
    folder : Path
        Folder of settings and data folders.
    shape : Shape
        Sizes.
    """

    def __init__(self, fleet: Fleet, folder: Path, shape: Shape) -> None:
        self.fleet = fleet
        self.shape = shape
        self._folder = folder
        ports = free_ports(2 * shape.controls + shape.entries)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        count = shape.controls
        self.internal = addresses[:count]
        self.operators = addresses[count : 2 * count]
        self.entries = addresses[2 * count :]
        self.engines: list[str] = []
        self.plain = ""

    def start(self) -> None:
        """Start all processes, apply the configuration and wait until it serves."""
        self.start_targets()
        self.start_daemons()
        self.configure()
        self.wait_serving()

    def start_targets(self, empty: Collection[int] = ()) -> None:
        """Start the engines and the plain service.

        Parameters
        ----------
        empty : collection of int
            Numbers of the engines that hold no model yet, from 0.
        """
        for number in range(self.shape.engines):
            model = "" if number in empty else MODEL
            self.engines.append(self.start_engine(number, model=model))
        self.plain = self.fleet.start_standin(PLAIN, "standins.plain")

    def start_daemons(self) -> None:
        """Start the control and entry daemons and wait for a leader."""
        for number in range(self.shape.controls):
            self.start_control(number)
        for number in range(self.shape.entries):
            self.start_entry(number)
        self.wait("a leader", self.leader)

    def configure(self) -> None:
        """Apply the configuration with the operators' command line."""
        self.ctl("apply-file", str(self._write("objects", self._objects())))

    def wait_serving(self) -> None:
        """Wait until every engine serves and the directory names every entry."""
        self.wait("all engines to serve", self._all_serve)
        self.wait("the directory to name all entries", self._all_listed)
        version = max(each["version"] for each in self.status().values())
        # The command fails while an entry has not confirmed the version.
        self.wait("all entries", lambda: self.show("in-force", str(version)))

    def start_control(self, number: int) -> None:
        """Start a control daemon, or start it again on its data folder."""
        path = self._write(f"control-{number + 1}", self._control_settings(number))
        self.fleet.start(path.stem, "wigeonspan.controld.main", "run", str(path))

    def start_entry(self, number: int) -> None:
        """Start an entry daemon, or start it again."""
        settings = {
            "host": f"entry-{number + 1}",
            "domain": DOMAINS[number % len(DOMAINS)],
            "address": self.entries[number],
            "control": self.internal,
        }
        path = self._write(f"entry-{number + 1}", settings)
        self.fleet.start(path.stem, "wigeonspan.entryd.main", "run", str(path))

    def start_engine(self, number: int, *, port: int = 0, model: str = MODEL) -> str:
        """Start a stand-in engine and return its address."""
        name = f"engine-{number + 1}"
        command = [f"--name={name}", f"--model={model}", "--model_version=1"]
        options = [*command, *self.shape.engine_options]
        return self.fleet.start_standin(name, "standins.engine", *options, port=port)

    def ctl(self, *args: str, reason: str = "set up the testbed") -> str:
        """Run the operators' command line for a change."""
        return run_ctl(",".join(self.operators), "testbed", reason, *args)

    def show(self, *args: str) -> str:
        """Run the operators' command line for a query and return what it prints."""
        return run_ctl(",".join(self.operators), "", "", *args)

    def query(self, *args: str) -> Any:
        """Run the operators' command line for a query and return its JSON."""
        return json.loads(self.show(*args, "--output=json"))

    def status(self) -> dict[str, Any]:
        """Return what each control daemon that answers says, by operators' address."""
        answers = self.query("status")
        # The entry of a daemon that does not answer is a text that says why.
        return {a: each for a, each in answers.items() if isinstance(each, dict)}

    def leader(self) -> str | None:
        """Return the name of the leading control host, if one answers."""
        leaders = [
            each["host"] for each in self.status().values() if each["lease_valid"]
        ]
        return leaders[0] if leaders else None

    def wait(
        self,
        what: str,
        probe: Callable[[], Any],
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Any:
        """Call a probe until it returns something true, and return that."""
        deadline = time.monotonic() + timeout_s
        failure = ""
        while time.monotonic() < deadline:
            self.fleet.check_all()
            try:
                found = probe()
                failure = ""
            except (StepFailed, OSError, http.client.HTTPException) as error:
                found, failure = None, f" ({error})"
            if found:
                return found
            time.sleep(0.1)
        raise StepFailed(f"waited {timeout_s:.0f} s for {what}{failure}")

    def get_json(self, address: str, path: str) -> Any:
        """Return the JSON answer of a GET."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        if response.status != 200:
            raise StepFailed(f"{address}{path}: {response.status} {body.decode()}")
        return json.loads(body)

    def set_fault(self, address: str, fault: dict[str, Any]) -> None:
        """Set the faults of a stand-in; an empty mapping clears them."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            connection.request("POST", "/standin/fault", json.dumps(fault))
            status = connection.getresponse().status
        finally:
            connection.close()
        if status != 200:
            raise StepFailed(f"{address}: the fault was refused with status {status}")

    def _all_serve(self) -> bool:
        listed = self.query("list", "engine")
        phases = [each["phase"] for each in listed]
        return len(phases) == self.shape.engines and set(phases) == {"serving"}

    def _all_listed(self) -> bool:
        answer = self.get_json(self.entries[0], "/v1/directory")
        return len(answer["entries"]) == self.shape.entries

    def _objects(self) -> list[dict[str, Any]]:
        service = {"kind": "model_service", "name": MODEL, "model": MODEL}
        plain = {
            "kind": "plain_service",
            "name": PLAIN,
            "targets": [{"address": self.plain, "domain": DOMAINS[0]}],
            "non_idempotent": ["POST /loans"],
        }
        objects: list[dict[str, Any]] = [
            {"kind": "tenant", "name": "archive", "rate_per_s": 10_000.0},
            {"kind": "model_version", "model": MODEL, "label": "1"},
            service | {"model_version": "1"},
            plain,
        ]
        for number, address in enumerate(self.entries):
            entry = {"kind": "entry_host", "name": f"entry-{number + 1}"}
            objects.append(entry | _place(number, address))
        for number, address in enumerate(self.engines):
            engine = {"kind": "engine", "name": f"engine-{number + 1}"}
            objects.append(engine | {"service": MODEL} | _place(number, address))
        return objects

    def _control_settings(self, number: int) -> dict[str, Any]:
        members = [
            {
                "host": f"control-{n + 1}",
                "domain": DOMAINS[n % len(DOMAINS)],
                "address": self.internal[n],
                "operators": self.operators[n],
            }
            for n in range(self.shape.controls)
        ]
        folder = str(self._folder / f"data-control-{number + 1}")
        return members[number] | {"data_folder": folder, "members": members}

    def _write(self, name: str, data: Any) -> Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(data, sort_keys=False))
        return path


def _place(number: int, address: str) -> dict[str, str]:
    return {"address": address, "domain": DOMAINS[number % len(DOMAINS)]}
