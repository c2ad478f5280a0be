"""Admission policies: accept or reject requests at the entry."""

from bramleyport.admission import _in_time as _in_time, _open as _open
from bramleyport.admission._base import (
    ADMISSION_POLICIES,
    AdmissionPolicy,
    Admitted,
    Rejected,
)

__all__ = ["ADMISSION_POLICIES", "AdmissionPolicy", "Admitted", "Rejected"]
