"""Counter of the bytes that a process sends and receives."""


class TrafficCounter:
    """Totals of the bytes that sockets have carried since the start."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
