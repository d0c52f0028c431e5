"""Platform's list of live and leaving hosts.

The task that polls it is in ``wigeonspan.hostlist.tasks``.
"""

from wigeonspan.hostlist._core import commands_for_leaving_hosts
from wigeonspan.hostlist._messages import HostState, ListedHost

__all__ = ["HostState", "ListedHost", "commands_for_leaving_hosts"]
