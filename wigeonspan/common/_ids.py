"""Identifier types shared by all packages."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of a host that runs a process of the system, for example ``entry-1``."""

EngineId = NewType("EngineId", str)
"""Name of an engine, unique in the deployment."""

ServiceName = NewType("ServiceName", str)
"""Name of a service, either a plain service or a model service."""

ModelName = NewType("ModelName", str)
"""Name of a model as callers send it in the ``model`` field."""

DomainName = NewType("DomainName", str)
"""Name of a failure domain."""

TenantName = NewType("TenantName", str)
"""Name of a tenant, the unit to which limits and fair shares apply."""

RequestId = NewType("RequestId", str)
"""Identifier of a caller's request; a retry by the caller has the same identifier."""

AttemptId = NewType("AttemptId", str)
"""Identifier of one attempt to run a request on one target."""

OperationId = NewType("OperationId", str)
"""Identifier of an operator's change; a resent change has the same identifier."""

LogIndex = NewType("LogIndex", int)
"""Position of an entry in the replicated log; the first entry has index 1."""

Term = NewType("Term", int)
"""Election term of the replicated log."""

Version = NewType("Version", int)
"""Version of the configuration: log index of its last change; 0 without changes."""
