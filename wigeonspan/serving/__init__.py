"""HTTP server for complete requests, built on tornado's connections."""

from wigeonspan.serving._server import RequestServer, ResponseWriter, ServeRequest

__all__ = ["ResponseWriter", "RequestServer", "ServeRequest"]
