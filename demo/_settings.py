"""Settings files and configuration of the demo deployment."""

from pathlib import Path
from typing import Any

import yaml

from testbed import free_ports

DOMAINS = ("ipoh-utara", "ipoh-selatan", "batu-gajah")
"""Failure domains of the deployment that the demo is modelled on."""

MODEL = "model-huraian"
"""Model service that the demo asks."""

PLAIN = "daftar-plat"
"""Plain service that the demo calls."""


class DemoSettings:
    """Settings files of three control daemons and two entry daemons.

    Parameters
    ----------
    folder : Path
        Folder for settings files and data folders.
    """

    def __init__(self, folder: Path) -> None:
        ports = free_ports(8)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self._folder = folder
        self._internal = addresses[0:3]
        self._operators = addresses[3:6]
        self._entries = addresses[6:8]
        self.control_files = [self._write_control(i) for i in range(3)]
        self.entry_files = [self._write_entry(i) for i in range(2)]

    @property
    def operators(self) -> str:
        """Operators' addresses, as the command line takes them."""
        return ",".join(self._operators)

    @property
    def entries(self) -> list[str]:
        """Addresses of the entry daemons."""
        return self._entries

    def write_objects(self, engines: list[str], plain: str) -> Path:
        """Write the configuration that the operator applies.

        Parameters
        ----------
        engines : list of str
            Addresses of the engines.
        plain : str
            Address of the plain service.
        """
        objects: list[dict[str, Any]] = [
            {"kind": "tenant", "name": "archive"},
            {"kind": "model_version", "model": MODEL, "label": "1"},
            {
                "kind": "model_service",
                "name": MODEL,
                "model": MODEL,
                "model_version": "1",
            },
            {
                "kind": "plain_service",
                "name": PLAIN,
                "targets": [{"address": plain, "domain": DOMAINS[0]}],
                "non_idempotent": ["POST /loans"],
            },
        ]
        for number, address in enumerate(self._entries, start=1):
            entry = {"kind": "entry_host", "name": f"entry-{number}"}
            objects.append(entry | {"address": address, "domain": DOMAINS[number - 1]})
        for number, address in enumerate(engines, start=1):
            engine = {"kind": "engine", "name": f"engine-{number}", "service": MODEL}
            objects.append(engine | {"address": address, "domain": DOMAINS[number - 1]})
        return self._write("objects", objects)

    def _write_control(self, number: int) -> Path:
        members = [
            {
                "host": f"control-{i + 1}",
                "domain": DOMAINS[i],
                "address": self._internal[i],
                "operators": self._operators[i],
            }
            for i in range(3)
        ]
        name = members[number]["host"]
        settings = members[number] | {
            "data_folder": str(self._folder / f"data-{name}"),
            "members": members,
        }
        return self._write(name, settings)

    def _write_entry(self, number: int) -> Path:
        name = f"entry-{number + 1}"
        settings = {
            "host": name,
            "domain": DOMAINS[number],
            "address": self._entries[number],
            "control": self._internal,
        }
        return self._write(name, settings)

    def _write(self, name: str, data: Any) -> Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(data, sort_keys=False))
        return path
