"""Control daemon: wiring of the replicated log, the state and the leader's duties."""

from wigeonspan.controld._settings import ControlSettings, MemberSettings

__all__ = ["ControlSettings", "MemberSettings"]
