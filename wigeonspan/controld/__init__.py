"""Control daemon: connects the replicated log, its state and the leader's duties."""

from wigeonspan.controld._settings import ControlSettings, MemberSettings

__all__ = ["ControlSettings", "MemberSettings"]
