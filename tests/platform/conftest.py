"""Settings of all tests of the platform's programs."""

import pytest


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch):
    """Keep a test process that is not scheduled for half a second from taking its own
    engines for silent; connection limits have tests of their own."""
    monkeypatch.setattr("wigeonspan.pool._pool.CONNECT_TIMEOUT_S", 5.0)
