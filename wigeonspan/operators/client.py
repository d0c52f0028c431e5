"""Client of the operators' service, a separate module because it imports gRPC."""

from wigeonspan.operators._client import OperatorClient, Unreachable
from wigeonspan.operators._session import Session, make_session

__all__ = ["OperatorClient", "Session", "Unreachable", "make_session"]
