"""Tests of the calls in hand when a control host stops, with the real programs."""

import json
import signal
import socket
import threading
import time

import pytest
from standin import CONTROL_PORT

from tests.platform.process_harness import call, document, log_lines, wait_until


def find_leader(deployment):
    for machine in deployment.controls:
        lines = [x for x in log_lines(machine) if x["event"] == "role"]
        if lines and lines[-1]["leads"]:
            return machine
    return None


def open_call(machine, request, receive_buffer=None):
    """Send a request, or a part of it, on a new connection."""
    caller = socket.socket()
    if receive_buffer:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.settimeout(10)
    caller.connect((machine.ip, CONTROL_PORT))
    caller.sendall(request)
    return caller


def read_all(caller):
    received = b""
    while part := caller.recv(65_536):
        received += part
    caller.close()
    return received


@pytest.mark.timeout(60)
def test_stop_without_a_successor_ends_before_the_kill(fresh_deployment):
    """Guards against a leader that waits for a successor until it is killed.

    The operators whose calls it has read got no answer.
    """
    leader = wait_until("a leader", lambda: find_leader(fresh_deployment))
    grace_s = 3.0
    with leader.settings.open("a") as file:
        file.write(f"bounds.grace_s={grace_s}\n")
    leader.signal(signal.SIGHUP)
    time.sleep(1.0)
    others = [m for m in fresh_deployment.controls if m is not leader]
    for machine in others:
        machine.signal(signal.SIGSTOP)
    answers = []
    url = f"http://{leader.ip}:{CONTROL_PORT}/v1/config/replace"
    change = threading.Thread(
        target=lambda: answers.append(call("POST", url, document(2).encode(), 9.0))
    )
    change.start()
    body = document(3).encode()
    head = f"POST /v1/config/replace HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    arriving = open_call(leader, head.encode() + body[:10])
    time.sleep(0.1)
    leader.signal(signal.SIGTERM)
    try:
        leader.process.wait(grace_s)
    finally:
        for machine in others:
            machine.signal(signal.SIGCONT)
    change.join()
    assert answers[0][0] == 503
    assert b"unknown" in answers[0][1]
    assert read_all(arriving).startswith(b"HTTP/1.1 503")


@pytest.mark.timeout(60)
def test_slow_operator_gets_the_whole_configuration(fresh_deployment):
    """Guards against an end of the process with a response in its buffers."""
    routes = [
        {
            **json.loads(document(2))["routes"][0],
            "name": f"r{n}",
            "path_prefix": f"/{n}/",
        }
        for n in range(4_000)
    ]
    fresh_deployment.store_config(2, extra=routes)
    leader = wait_until("a leader", lambda: find_leader(fresh_deployment))
    request = b"GET /v1/config/describe HTTP/1.1\r\n\r\n"
    caller = open_call(leader, request, receive_buffer=4_096)
    time.sleep(0.5)
    leader.signal(signal.SIGTERM)
    time.sleep(2.5)
    _, _, body = read_all(caller).partition(b"\r\n\r\n")
    assert json.loads(body)["version"] == 2
    assert leader.process.wait(timeout=5) == 0
