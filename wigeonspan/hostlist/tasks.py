"""Poller of the host list; a separate module because it imports tornado."""

from wigeonspan.hostlist._task import HostListPoller

__all__ = ["HostListPoller"]
