"""Server of the operators' service, a separate module because it imports gRPC."""

from wigeonspan.operators._service import OperatorServer, OperatorService

__all__ = ["OperatorServer", "OperatorService"]
