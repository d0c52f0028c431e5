"""Client side of the operators' interface, apart because it loads gRPC."""

from wigeonspan.operators._client import OperatorClient, Unreachable
from wigeonspan.operators._session import Session, make_session

__all__ = ["OperatorClient", "Session", "Unreachable", "make_session"]
