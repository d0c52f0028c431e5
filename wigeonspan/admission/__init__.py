"""Admission control: tenant limits, fair queues and early refusal of requests."""

from wigeonspan.admission._core import Admission
from wigeonspan.admission._messages import (
    AdmissionRequest,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    Verdict,
)

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "Queued",
    "Refused",
    "AdmissionRequest",
    "Verdict",
]
