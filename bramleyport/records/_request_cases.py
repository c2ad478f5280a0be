"""Explained requests: buffering in a process and the stored report."""

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

# The limit is for each kind in the report of one service, so that many rejections do
# not displace late answers. A case takes about 0.8 kB, a full report 19 kB.
MAX_CASES_PER_KIND: Final = 6
# In one process; a case takes about 2 kB of memory.
MAX_BUFFERED_CASES: Final = 128
_KIND_ORDER: Final = tuple(CaseKind)

_converter = make_strict_converter()


class CaseBuffer:
    """Track the newest cases of each service and kind until they are sent or stored."""

    def __init__(self) -> None:
        self._cases: dict[tuple[ServiceName, CaseKind], deque[RequestCase]] = {}
        self._size = 0

    def add(self, case: RequestCase) -> None:
        """Add a case, if necessary in place of the oldest one of the largest group."""
        group = self._cases.setdefault((case.service, case.kind), deque())
        group.append(case)
        self._size += 1
        if len(group) > MAX_CASES_PER_KIND:
            group.popleft()
            self._size -= 1
        elif self._size > MAX_BUFFERED_CASES:
            key, largest = max(self._cases.items(), key=lambda pair: len(pair[1]))
            largest.popleft()
            self._size -= 1
            if not largest:
                del self._cases[key]

    def take(self, count: int) -> tuple[RequestCase, ...]:
        """Remove all cases and return some of them, the newest of each group first."""
        groups = sorted(
            self._cases.items(), key=lambda pair: _get_kind_order(pair[0][1])
        )
        taken: list[RequestCase] = []
        while len(taken) < count and any(group for _, group in groups):
            for _, group in groups:
                if group and len(taken) < count:
                    taken.append(group.pop())
        self._cases = {}
        self._size = 0
        return tuple(taken)

    def list_services(self) -> list[ServiceName]:
        """Return the services with cases, the one waiting longest first."""
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
    """Return the newest cases of each kind, newest first, up to a limit."""
    by_request = {case.request: case for case in [*stored, *added]}
    newest = sorted(by_request.values(), key=lambda case: -case.ended_at)
    return tuple(
        case
        for kind in CaseKind
        for case in [item for item in newest if item.kind is kind][:MAX_CASES_PER_KIND]
    )


def write_cases(cases: Iterable[RequestCase]) -> dict[str, Any]:
    """Convert explained requests to the document that is stored."""
    return {"cases": [_omit_empty(_converter.unstructure(case)) for case in cases]}


def read_cases(document: Mapping[str, Any]) -> tuple[RequestCase, ...]:
    """Return the explained requests in a document, except malformed ones."""
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


def _get_kind_order(kind: CaseKind) -> int:
    return _KIND_ORDER.index(kind)
