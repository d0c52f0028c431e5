"""Fixtures for all tests of the platform adapter and its programs."""

import pytest


@pytest.fixture(autouse=True)
def long_connect_timeout(monkeypatch):
    """Raise the connect timeout, so that a test process that is not scheduled for half
    a second does not treat its own engines as unreachable. Tests of the connection pool
    check the real timeout."""
    monkeypatch.setattr("wigeonspan.pool._pool.CONNECT_TIMEOUT_S", 5.0)
