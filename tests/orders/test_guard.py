"""The lease guard kills a process that is frozen past its lease."""

import contextlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from wigeonspan.common import ManualClock
from wigeonspan.orders.tasks import LeaseGuard, LeaseLost


@contextlib.contextmanager
def run_sender(listener, lease_s, extended):
    address = "{}:{}".format(*listener.getsockname())
    command = [sys.executable, "-m", "tests.orders.guarded_sender", address]
    command += [str(lease_s), "extended" if extended else "fixed"]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout.readline() == "armed\n"
        yield process
    finally:
        process.kill()
        process.wait()


def resume(process):
    process.stdin.write("\n")
    process.stdin.flush()


def bytes_received(listener):
    """Accept a connection, refuse its order and return the bytes it sent."""
    listener.settimeout(1.0)
    try:
        connection, _ = listener.accept()
    except TimeoutError:
        return b""
    with connection:
        connection.settimeout(3.0)
        data = connection.recv(65536)
        with contextlib.suppress(OSError):
            connection.sendall(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")
        return data


@pytest.mark.parametrize(("frozen_s", "killed_by_timer"), [(4.5, True), (0.0, False)])
def test_process_frozen_past_its_lease_is_killed_before_it_writes(
    frozen_s, killed_by_timer
):
    """A frozen process must not send an order after its lease has expired.

    Checking the lease is not enough: the process can freeze between check and write.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with run_sender(listener, lease_s=4.0, extended=False) as process:
            process.send_signal(signal.SIGSTOP)
            resume(process)
            time.sleep(frozen_s)
            process.send_signal(signal.SIGCONT)
            data = bytes_received(listener)
            result, code = process.stdout.readline(), process.wait(20)
    assert result == ("" if killed_by_timer else "refused disarmed\n")
    assert code == (-signal.SIGALRM if killed_by_timer else 0)
    assert data.startswith(b"POST /wigeonspan/order") is not killed_by_timer
    assert killed_by_timer is not bool(data)


@pytest.mark.parametrize("extended", [True, False])
def test_slow_connection_does_not_kill_the_process(extended):
    """An engine that is slow to connect must not get a healthy leader killed."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            # Fill the backlog, so that the kernel drops further connections.
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        with run_sender(listener, lease_s=0.8, extended=extended) as process:
            resume(process)
            result = process.stdout.readline()
            assert process.wait(20) == 0
    assert result in ("unknown disarmed\n", "not_sent disarmed\n")


class JumpingClock(ManualClock):
    """Clock that jumps forward after each reading, like a process that is frozen."""

    def __init__(self, jump_s):
        super().__init__(now=100.0)
        self._jump_s = jump_s

    def now(self):
        now = super().now()
        self.advance(self._jump_s)
        return now


@pytest.mark.parametrize(
    ("lease_until", "jump_s", "lost"),
    [(101.0, 0.0, False), (100.25, 0.0, True), (0.0, 0.0, True), (101.0, 0.6, True)],
)
def test_guard_refuses_a_lease_that_is_too_short(lease_until, jump_s, lost):
    """A short lease, or a freeze between reading the clock and arming, is detected.

    The freeze would otherwise delay the timer past the end of the lease.
    """
    guard = LeaseGuard(JumpingClock(jump_s), lambda: lease_until)
    try:
        if lost:
            with pytest.raises(LeaseLost):
                guard.acquire()
        else:
            guard.acquire()
        assert guard.is_armed is not lost
        timer_s, _ = signal.getitimer(signal.ITIMER_REAL)
        assert (timer_s > 0) is not lost
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)


def test_timer_is_disarmed_after_the_last_send():
    """The timer stays armed until the last of the overlapping sends is finished."""
    guard = LeaseGuard(ManualClock(100.0), lambda: 150.0)
    try:
        guard.acquire()
        guard.acquire()
        guard.release()
        assert signal.getitimer(signal.ITIMER_REAL)[0] > 0
        guard.release()
        assert signal.getitimer(signal.ITIMER_REAL)[0] == 0
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
