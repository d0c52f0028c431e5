"""Poller of the host list, apart from the core because it loads tornado."""

from wigeonspan.hostlist._task import HostListTask

__all__ = ["HostListTask"]
