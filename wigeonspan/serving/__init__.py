"""HTTP server for complete requests, built on tornado's connections."""

from wigeonspan.serving._server import Caller, RequestServer, Serve

__all__ = ["Caller", "RequestServer", "Serve"]
