"""Explained requests: buffers between processes and the stored report."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, Final

from cattrs import BaseValidationError

from bramleyport.core import (
    CaseKind,
    RequestCase,
    ServiceName,
    make_strict_converter,
)

# Of each kind in one service's report, so that a flood of rejections does not displace
# the late answers. A case takes about 0.8 kB, a full report 19 kB.
CASES_KEPT: Final = 6
# In memory of one process, about 2 kB each.
CASES_BUFFERED: Final = 128
_KIND_ORDER: Final = tuple(CaseKind)

_converter = make_strict_converter()


class CaseBuffer:
    """Hold the newest cases of each service and kind until they are passed on."""

    def __init__(self) -> None:
        self._cases: dict[tuple[ServiceName, CaseKind], deque[RequestCase]] = {}
        self._size = 0

    def add(self, case: RequestCase) -> None:
        """Keep a case; the oldest ones of the fullest group give way to it."""
        group = self._cases.setdefault((case.service, case.kind), deque())
        group.append(case)
        self._size += 1
        if len(group) > CASES_KEPT:
            group.popleft()
            self._size -= 1
        elif self._size > CASES_BUFFERED:
            key, fullest = max(self._cases.items(), key=lambda pair: len(pair[1]))
            fullest.popleft()
            self._size -= 1
            if not fullest:
                del self._cases[key]

    def take(self, count: int) -> tuple[RequestCase, ...]:
        """Remove all cases and return some of them, newest of each group first."""
        groups = sorted(self._cases.items(), key=lambda pair: _rank_kind(pair[0][1]))
        taken: list[RequestCase] = []
        while len(taken) < count and any(group for _, group in groups):
            for _, group in groups:
                if group and len(taken) < count:
                    taken.append(group.pop())
        self._cases = {}
        self._size = 0
        return tuple(taken)

    def list_services(self) -> list[ServiceName]:
        """Return the services with cases, the one that waits longest first."""
        return list(dict.fromkeys(service for service, _ in self._cases))

    def take_service(self, service: ServiceName) -> tuple[RequestCase, ...]:
        """Remove and return the cases of one service."""
        groups = [
            self._cases.pop((service, kind), deque[RequestCase]()) for kind in CaseKind
        ]
        taken = tuple(case for group in groups for case in group)
        self._size -= len(taken)
        return taken


def merge_cases(
    stored: Iterable[RequestCase], added: Iterable[RequestCase]
) -> tuple[RequestCase, ...]:
    """Return the newest cases of each kind, newest first."""
    by_request = {case.request: case for case in [*stored, *added]}
    newest = sorted(by_request.values(), key=lambda case: -case.ended_at)
    return tuple(
        case
        for kind in CaseKind
        for case in [item for item in newest if item.kind is kind][:CASES_KEPT]
    )


def write_cases(cases: Iterable[RequestCase]) -> dict[str, Any]:
    """Return the document that stores explained requests."""
    return {"cases": [_omit_empty(_converter.unstructure(case)) for case in cases]}


def read_cases(document: Mapping[str, Any]) -> tuple[RequestCase, ...]:
    """Return the explained requests in a document; unreadable ones are left out."""
    rows = document.get("cases", [])
    cases: list[RequestCase] = []
    for row in rows if isinstance(rows, list) else []:
        try:
            cases.append(_converter.structure(row, RequestCase))
        except (BaseValidationError, TypeError, ValueError):
            continue
    return tuple(cases)


def _omit_empty(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if value not in ("", (), [])}


def _rank_kind(kind: CaseKind) -> int:
    return _KIND_ORDER.index(kind)
