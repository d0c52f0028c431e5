"""Start a deployment of real processes on loopback, for demo, tests and benchmarks.

The testbed is not part of the serving system, whose daemons start no processes.
"""

from testbed._caller import Stream, release_loan
from testbed._deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Deployment,
    DeploymentOptions,
)
from testbed._processes import DeploymentError, ProcessGroup, free_ports, run_ctl

__all__ = [
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "Deployment",
    "ProcessGroup",
    "DeploymentOptions",
    "DeploymentError",
    "Stream",
    "free_ports",
    "release_loan",
    "run_ctl",
]
