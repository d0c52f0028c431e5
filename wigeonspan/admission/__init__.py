"""Admission control: tenant limits, fair queues and early refusal of requests."""

from wigeonspan.admission._core import Admission
from wigeonspan.admission._messages import (
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    Ticket,
    Verdict,
)

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "Queued",
    "Refused",
    "Ticket",
    "Verdict",
]
