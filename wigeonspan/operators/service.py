"""Server side of the operators' interface, apart because it loads gRPC."""

from wigeonspan.operators._service import OperatorServer, OperatorService

__all__ = ["OperatorServer", "OperatorService"]
