"""The platform's list of live and leaving hosts.

The poller is in ``wigeonspan.hostlist.tasks``.
"""

from wigeonspan.hostlist._core import leave_commands
from wigeonspan.hostlist._messages import HostState, ListedHost

__all__ = ["HostState", "ListedHost", "leave_commands"]
