"""Fixture with a deployment of real processes."""

import pytest

from testbed import Deployment, Fleet, Shape


@pytest.fixture
def deployment(tmp_path):
    """Yield three control daemons, two entries, two engines and a plain service."""
    with Fleet(tmp_path) as fleet:
        deployment = Deployment(fleet, tmp_path, Shape())
        deployment.start()
        yield deployment
