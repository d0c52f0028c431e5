"""Fixtures for all tests of the platform adapter and its programs."""

import pytest

from tests.platform.process_harness import Deployment, wait_until


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch):
    """Raise the connect timeout, so that a test process that is not scheduled for half
    a second does not treat its own engines as unreachable. Tests of the connection pool
    check the real timeout."""
    monkeypatch.setattr("wigeonspan.pool._pool.CONNECT_TIMEOUT_S", 5.0)


@pytest.fixture
def fresh_deployment(tmp_path):
    """Three control hosts and two entries that are ready, for one test."""
    deployment = Deployment(tmp_path)
    try:
        deployment.store_config(1)
        for entry in deployment.entries:
            wait_until(
                "an entry to be ready", lambda entry=entry: deployment.is_ready(entry)
            )
        yield deployment
    finally:
        deployment.stop()
