"""HTTP server for whole requests, over tornado's connections."""

from wigeonspan.serving._server import Caller, RequestServer, Serve

__all__ = ["Caller", "RequestServer", "Serve"]
