"""Tests of requests while processes are killed, frozen or drained."""

import threading

import pytest

from testbed import DeploymentError, Stream, release_loan


def phase(deployment, engine):
    return deployment.query("get", f"engine/{engine}")["phase"]


@pytest.mark.timeout(240)
@pytest.mark.parametrize("engine", ["engine-1", "engine-2"])
def test_killed_engine_loses_no_token(deployment, engine):
    """Guards against lost or repeated tokens when a stream changes its engine."""
    streams = [Stream(deployment.entries[n % 2], f"question {n}", 60) for n in range(6)]
    for stream in streams:
        next(stream.tokens())
    deployment.processes.kill(engine)
    for stream in streams:
        stream.read_to_end()


@pytest.mark.timeout(240)
def test_drained_engine_aborts_no_urgent_stream(deployment):
    """Guards against a planned change that aborts desk or quote streams."""
    streams = [
        Stream(deployment.entries[n % 2], f"question {n}", 150, "desk")
        for n in range(4)
    ]
    for stream in streams:
        next(stream.tokens())
    deployment.ctl("drain-engine", "engine-1")
    for stream in streams:
        stream.read_to_end()
    deployment.wait_until(
        "the drain", lambda: phase(deployment, "engine-1") == "drained"
    )
    Stream(deployment.entries[0], "another question", 3).read_to_end()


@pytest.mark.timeout(240)
def test_loan_released_through_both_entries_runs_once(deployment):
    """Guards against running a call twice that comes through two entries at once."""
    answers = []

    def release(address):
        answers.append(release_loan(address, "key-1", "1907-44"))

    threads = [
        threading.Thread(target=release, args=(deployment.entries[n % 2],))
        for n in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert {status for status, _ in answers} <= {201, 409}
    assert any(status == 201 for status, _ in answers)
    counts = deployment.get_json(deployment.plain, "/standin/executions")
    assert sum(counts.values()) == 1


@pytest.mark.timeout(240)
def test_killed_entry_ends_its_calls_as_unknown(deployment):
    """Guards against repeating a call whose entry was killed before its answer."""
    deployment.set_fault(deployment.plain, {"slow_s": 3.0})

    def release():
        try:
            release_loan(deployment.entries[0], "key-2", "1907-45")
        except OSError:
            pass

    thread = threading.Thread(target=release)
    thread.start()
    deployment.wait_until(
        "the call to arrive",
        lambda: deployment.get_json(deployment.plain, "/standin/arrivals")["arrivals"],
    )
    assert release_loan(deployment.entries[1], "key-2", "1907-45")[0] == 409
    deployment.processes.kill("entry-1")
    thread.join()

    def unknown():
        status, body = release_loan(deployment.entries[1], "key-2", "1907-45")
        return status == 502 and "outcome_unknown" in body

    deployment.wait_until("the outcome to be unknown", unknown, timeout_s=40.0)
    counts = deployment.get_json(deployment.plain, "/standin/executions")
    assert sum(counts.values()) <= 1


@pytest.mark.timeout(240)
def test_resumed_entry_sends_nothing_to_a_drained_engine(deployment):
    """Guards against an entry that routes by its old configuration after a freeze.

    Its lease expired while it was frozen.
    """
    deployment.processes.freeze("entry-1")
    deployment.ctl("drain-engine", "engine-1")
    deployment.wait_until(
        "the drain", lambda: phase(deployment, "engine-1") == "drained"
    )
    engine = deployment.engines[0]
    before = deployment.get_json(engine, "/standin/stats")["completions"]
    # The requests wait in the socket buffers of the frozen entry.
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(ask(deployment.entries[0])), daemon=True
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    deployment.processes.resume("entry-1")
    for thread in threads:
        thread.join()
    assert set(answers) <= {"whole", "lease_expired"}
    assert deployment.get_json(engine, "/standin/stats")["completions"] == before


def ask(address):
    try:
        Stream(address, "question", 5).read_to_end()
    except DeploymentError as error:
        assert '"ran":"no"' in str(error)
        return "lease_expired" if "lease_expired" in str(error) else str(error)
    return "whole"
