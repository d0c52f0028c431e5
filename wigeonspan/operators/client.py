"""Client of the operators' service, a separate module because it imports gRPC."""

from wigeonspan.operators._client import ControlUnreachable, OperatorClient
from wigeonspan.operators._session import Session, make_session

__all__ = ["ControlUnreachable", "OperatorClient", "Session", "make_session"]
