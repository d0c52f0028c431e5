"""State machine that holds the configuration and the state of duties.

Logs and snapshots of earlier versions hold only configurations. Those are encoded as
before, and everything else begins with a byte that no configuration begins with.
"""

from typing import Any

import msgspec
from msgspec import Struct

from wigeonspan.common import LogIndex
from wigeonspan.fleetconfig import ConfigStateMachine, StoredConfig
from wigeonspan.scaling import OrderRecorded, ScalingLedger
from wigeonspan.scaling._ledger import ScalingState
from wigeonspan.usage import DecideWindow, UsageLedger, WindowReported
from wigeonspan.usage._ledger import DecidedWindow

DUTY_PREFIX = b"\xc1"
"""First byte of commands and snapshots about duties. MessagePack never uses it."""

DutyCommand = DecideWindow | WindowReported | OrderRecorded
"""Any command about a duty."""


class _Snapshot(Struct, frozen=True):
    config: bytes
    usage: list[DecidedWindow] = []
    scaling: ScalingState = ScalingState()


_encode = msgspec.msgpack.Encoder().encode
_decode_command = msgspec.msgpack.Decoder(DutyCommand).decode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


def encode_duty_command(command: DutyCommand) -> bytes:
    """Encode a command about a duty."""
    return DUTY_PREFIX + _encode(command)


class ControlStateMachine:
    """State machine of a control host."""

    def __init__(self) -> None:
        self._config = ConfigStateMachine()
        self._usage = UsageLedger()
        self._scaling = ScalingLedger()

    @property
    def stored(self) -> StoredConfig:
        """Configuration that is in effect."""
        return self._config.stored

    @property
    def usage(self) -> UsageLedger:
        """Windows of use that were decided."""
        return self._usage

    @property
    def scaling(self) -> ScalingLedger:
        """Numbers of replicas that were ordered."""
        return self._scaling

    def apply(self, index: LogIndex, command: bytes) -> Any:
        """Apply a committed command and return its result."""
        if not command.startswith(DUTY_PREFIX):
            return self._config.apply(index, command)
        match _decode_command(command[len(DUTY_PREFIX) :]):
            case DecideWindow() | WindowReported() as usage_command:
                return self._usage.apply(usage_command)
            case OrderRecorded() as order_command:
                return self._scaling.apply(order_command)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        config = self._config.snapshot()
        if self._usage.is_empty and self._scaling.is_empty:
            return config
        snapshot = _Snapshot(config, self._usage.save(), self._scaling.save())
        return DUTY_PREFIX + _encode(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        snapshot = (
            _decode_snapshot(data[len(DUTY_PREFIX) :])
            if data.startswith(DUTY_PREFIX)
            else _Snapshot(data)
        )
        self._config.restore(snapshot.config)
        self._usage.restore(snapshot.usage)
        self._scaling.restore(snapshot.scaling)

    def flush(self) -> None:
        """Do nothing, because this state machine writes no files."""
