"""Tests of the composed state machine."""

from wigeonspan.common import TenantName
from wigeonspan.controlstate import ControlStateMachine, encode_duty_command
from wigeonspan.fleetconfig import (
    ConfigStateMachine,
    StoredConfig,
    encode_store_command,
)
from wigeonspan.usage import DecideWindow, UsageLedger, WindowReported

A = TenantName("a")


def decide(window, count=1):
    return encode_duty_command(DecideWindow(window, ((A, count),)))


def test_state_without_duties_is_encoded_as_before():
    """Hosts of a deployment without duties must read each other's snapshots."""
    machine, earlier = ControlStateMachine(), ConfigStateMachine()
    command = encode_store_command(StoredConfig(3, b"{}"))
    assert machine.apply(1, command) == earlier.apply(1, command)
    assert machine.snapshot() == earlier.snapshot()


def test_snapshot_of_an_earlier_version_is_restored():
    """An update must not lose the configuration."""
    earlier = ConfigStateMachine()
    earlier.apply(1, encode_store_command(StoredConfig(3, b"{}")))
    machine = ControlStateMachine()
    machine.apply(1, decide(7))
    machine.restore(earlier.snapshot())
    assert machine.stored == StoredConfig(3, b"{}") and machine.usage.is_empty


def test_snapshot_holds_what_was_decided_and_reported():
    """After a restart, a window must not be decided again with other counts."""
    machine, copy = ControlStateMachine(), ControlStateMachine()
    machine.apply(1, encode_store_command(StoredConfig(3, b"{}")))
    for window in (7, 8):
        machine.apply(1, decide(window, window))
    machine.apply(1, encode_duty_command(WindowReported(7)))
    usage = copy.usage
    copy.restore(machine.snapshot())
    assert copy.stored.version == 3
    assert copy.usage is usage, "tasks keep a reference to it"
    assert [(w.window, w.counts) for w in usage.unreported] == [(8, ((A, 8),))]
    copy.apply(1, decide(7, 99))
    assert usage.newest == 8 and len(usage.unreported) == 1


def test_reported_windows_are_forgotten_after_a_while():
    """The state must not grow with the time that a deployment runs."""
    machine = ControlStateMachine()
    for window in range(500):
        machine.apply(1, decide(window))
        machine.apply(1, encode_duty_command(WindowReported(window)))
    assert len(machine.snapshot()) < 2000
    machine.apply(1, decide(3, 99))
    assert machine.usage.unreported == []


def test_windows_that_are_never_acknowledged_are_bounded():
    """An outage of the platform for days made snapshots grow without end."""
    ledger = UsageLedger()
    for window in range(5000):
        ledger.apply(DecideWindow(window, ()))
    kept = [w.window for w in ledger.unreported]
    assert kept[-1] == 4999 and 1000 <= len(kept) <= 1500
    restored = UsageLedger()
    restored.restore(ledger.save())
    assert restored.newest == 4999 and restored.unreported == ledger.unreported
    for window in kept:
        ledger.apply(WindowReported(window))
    ledger.apply(DecideWindow(5000, ()))
    assert len(ledger.save()) == 25
