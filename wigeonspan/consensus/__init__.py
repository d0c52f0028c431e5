"""Replicated log."""

from wigeonspan.consensus._interface import ReplicatedLog, StateMachine

__all__ = ["ReplicatedLog", "StateMachine"]
