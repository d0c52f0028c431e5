"""Fixture with a deployment of real processes."""

import pytest

from testbed import Deployment, DeploymentOptions, ProcessGroup


@pytest.fixture
def deployment(tmp_path):
    """Yield three control daemons, two entries, two engines and a plain service."""
    with ProcessGroup(tmp_path) as processes:
        deployment = Deployment(processes, tmp_path, DeploymentOptions())
        deployment.start()
        yield deployment
