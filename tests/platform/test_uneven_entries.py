"""Tests of uneven entries, with the programs as processes."""

import json
from collections import Counter

import pytest
from msgspec.structs import replace
from standin import DIRECTORY_PORT, DeploymentLimits

from tests.platform.process_harness import CONTROLS, Deployment, call, wait_until

LARGE = DeploymentLimits(cpu_share=0.5, cores=4.0, bandwidth_mbps=20.0)
SMALL = replace(LARGE, cores=1.0, bandwidth_mbps=5.0)


@pytest.fixture
def deployment(tmp_path):
    new_deployment = Deployment(tmp_path, LARGE)
    try:
        new_deployment.store_config(1)
        yield new_deployment
    finally:
        new_deployment.stop()


def look_up(host):
    """Return how often a host names each address."""
    url = f"http://{host.ip}:{DIRECTORY_PORT}/v1/resolve?name=h.example&zone=z1"
    status, body = call("GET", url)
    return Counter(json.loads(body)["addresses"] if status == 200 else [])


@pytest.mark.timeout(120)
def test_larger_entry_is_named_more_often_by_all_hosts(deployment):
    """The smallest entry got as many callers as one four times its size."""
    large, small = deployment.entries
    names = [deployment.front_address(entry) for entry in (large, small)]
    for host in (*deployment.controls, *deployment.entries):
        wait_until("two equal entries", lambda h=host: look_up(h) == Counter(names))
    small.kill()
    small._limits = SMALL
    small.write_settings(CONTROLS)
    small.start()

    def is_weighted(host):
        found = look_up(host)
        return found.total() == 64 and found[names[0]] > 2 * found[names[1]] > 0

    for host in (*deployment.controls, *deployment.entries):
        wait_until("answers with weights", lambda h=host: is_weighted(h), 30.0)
