"""Errors of the record."""


class RecordError(Exception):
    """The record was modified or damaged, or contradicts the log.

    Parameters
    ----------
    location : str
        File and offset, or the position of the entry.
    reason : str
        Description of the fault.
    """

    def __init__(self, location: str, reason: str) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason
