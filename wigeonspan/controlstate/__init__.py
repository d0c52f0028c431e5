"""Replicated state of the control hosts: configuration, and state of their duties."""

from wigeonspan.controlstate._machine import (
    ControlStateMachine,
    DutyCommand,
    encode_duty_command,
)

__all__ = ["ControlStateMachine", "DutyCommand", "encode_duty_command"]
