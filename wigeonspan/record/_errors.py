"""Faults of the record."""


class RecordFault(Exception):
    """The record is not what was written, or cannot be written.

    Parameters
    ----------
    place : str
        File and offset, or the entry.
    reason : str
        What is wrong.
    """

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason
