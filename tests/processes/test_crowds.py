"""Crowds of callers that hold the memory or the connections of an entry daemon.

The crowd and the bounds are fixed; no test checks a time or a share of served requests.
"""

import pytest

from testbed import Deployment, DeploymentError, DeploymentOptions, ProcessGroup, Stream
from tests.crowds import Crowd, Watch, chunk

MEMORY_MB = 144
"""Memory of an entry daemon. Without requests it uses less than half of it."""

MAX_FDS = 300
"""Descriptors of an entry daemon."""

HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Tenant: archive\r\n"
    b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def large_chunks(number):
    """Send 7.5 MiB in large chunks, all but the last bytes."""
    yield HEAD
    for _ in range(29):
        yield chunk(256 * 1024)
    yield chunk(256 * 1024)[:-10]


def incomplete_head(number):
    """Send a head without its end; every second one sends nothing."""
    if number % 2:
        yield HEAD[:-4] + b"\r\nX-Long: " + b"x" * 12000


@pytest.mark.timeout(240)
@pytest.mark.parametrize(
    ("size", "parts_of"), [(40, large_chunks), (400, incomplete_head)]
)
def test_crowd_does_not_end_an_entry_daemon(tmp_path, size, parts_of):
    """An entry daemon ran out of memory or descriptors."""
    options = DeploymentOptions(
        entry_settings={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    )
    with ProcessGroup(tmp_path) as processes:
        deployment = Deployment(processes, tmp_path, options)
        deployment.start()
        address = deployment.entries[0]

        def served():
            try:
                Stream(address, "short question", 3).read_to_end()
            except (DeploymentError, OSError):
                return False
            return True

        crowd = Crowd(address, size, parts_of)
        with Watch(processes.pid("entry-1")) as watch:
            crowd.send()
            processes.check_all_running()
            deployment.wait_until("an ordinary request to be served", served)
            processes.check_all_running()
            print(f"peak {watch.peak_mb:.0f} MB, {watch.most_fds} descriptors")
            assert watch.peak_mb < MEMORY_MB
            assert watch.most_fds < MAX_FDS
        crowd.leave()
