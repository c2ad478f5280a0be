"""Storage of claim logs in the object API."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, TypeGuard

from result import Err, Ok, Result

from bramleyport.claims import (
    CallFailed,
    FirstNumberRead,
    ReadFirstNumber,
    ReadSegment,
    Segment,
    SegmentConflict,
    SegmentRead,
    SegmentWritten,
    StoredAnswer,
    StoreEvent,
    WriteInDoubt,
    WriteSegment,
    find_answer,
    read_segment,
    write_segment,
)
from bramleyport.objectapi import (
    Kind,
    ObjectClient,
    ObjectName,
    ObjectVersion,
    StoredObject,
    StoreError,
    StoreFailure,
)
from bramleyport.telemetry import claim_events, log_event

# The names of segments have numbers of eight digits.
SEGMENT_NUMBER_LIMIT: Final = 10**8
_ABSENT: Final = ObjectVersion(0)


@dataclass(frozen=True, slots=True, kw_only=True)
class _LogNumbers:
    """Describe the first segment of a log, and up to which one all were deleted."""

    first: int = 0
    trimmed: int = 0


class ClaimStore:
    """Read and write the segments of each log, and the object with its first number."""

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def read_first(self, log: int, action: ReadFirstNumber) -> StoreEvent:
        """Read the number of the first segment of a log."""
        found = await self._get(name_log(log))
        if isinstance(found, Err):
            return CallFailed(op=action.op)
        if found.ok_value is None:
            return FirstNumberRead(op=action.op, first=0)
        numbers = _parse_numbers(name_log(log), found.ok_value)
        if numbers is None:
            return CallFailed(op=action.op)
        return FirstNumberRead(op=action.op, first=numbers.first)

    async def read(self, log: int, action: ReadSegment) -> StoreEvent:
        """Read a segment."""
        name = name_segment(log, action.number)
        found = await self._get(name)
        if isinstance(found, Err):
            return CallFailed(op=action.op)
        stored = found.ok_value
        if stored is None:
            return SegmentRead(op=action.op, segment=None)
        segment = _parse(name, stored)
        if segment is None:
            return CallFailed(op=action.op)
        return SegmentRead(op=action.op, segment=segment, version=stored.version)

    async def write(self, log: int, action: WriteSegment) -> StoreEvent:
        """Append to a segment, seal it or create it."""
        result = await self._put(
            name_segment(log, action.number),
            ObjectVersion(action.expected),
            write_segment(action.segment),
        )
        if isinstance(result, Ok):
            return SegmentWritten(op=action.op, version=result.ok_value.version)
        failure = result.err_value.failure
        if failure is StoreFailure.CONFLICT:
            return SegmentConflict(op=action.op)
        if failure is StoreFailure.UNKNOWN:
            return WriteInDoubt(op=action.op)
        return CallFailed(op=action.op)

    async def read_answer(
        self, log: int, number: int, key: str
    ) -> Result[StoredAnswer | None, StoreError]:
        """Return the stored answer of a key from its segment."""
        name = name_segment(log, number)
        found = await self._get(name)
        if isinstance(found, Err):
            return found
        segment = None if found.ok_value is None else _parse(name, found.ok_value)
        return Ok(None if segment is None else find_answer(segment, key))

    async def trim(self, log: int, first: int) -> None:
        """Record the number of the first segment, and delete earlier segments.

        A trim deletes the segments before the number that the previous trim recorded.
        If it fails midway, the next trim deletes the rest.
        """
        name = name_log(log)
        found = await self._get(name)
        if isinstance(found, Err):
            return
        stored = found.ok_value
        numbers = _LogNumbers() if stored is None else _parse_numbers(name, stored)
        if numbers is None or first <= numbers.first:
            return
        for number in range(numbers.trimmed, numbers.first):
            if not await self._delete(name_segment(log, number)):
                return
        version = _ABSENT if stored is None else stored.version
        spec = {"first": first, "trimmed": numbers.first}
        if isinstance(await self._put(name, version, spec), Ok):
            log_event(
                claim_events.CLAIM_LOG_TRIMMED,
                log=log,
                deleted=numbers.first - numbers.trimmed,
            )

    async def _get(self, name: ObjectName) -> Result[StoredObject | None, StoreError]:
        found = await self._client.get(Kind.CLAIMS, name)
        if isinstance(found, Ok):
            return Ok(found.ok_value)
        if found.err_value.failure is StoreFailure.NOT_FOUND:
            return Ok(None)
        return found

    async def _put(
        self, name: ObjectName, version: ObjectVersion, spec: Mapping[str, object]
    ) -> Result[StoredObject, StoreError]:
        if version == _ABSENT:
            return await self._client.create(Kind.CLAIMS, name, spec, {})
        return await self._client.update(Kind.CLAIMS, name, version, spec, {})

    async def _delete(self, name: ObjectName) -> bool:
        found = await self._get(name)
        if isinstance(found, Err):
            return False
        if found.ok_value is None:
            return True
        version = found.ok_value.version
        return isinstance(await self._client.delete(Kind.CLAIMS, name, version), Ok)


def name_log(log: int) -> ObjectName:
    """Return the name of the object with the number of a log's first segment."""
    return ObjectName(f"log-{log:02d}")


def name_segment(log: int, number: int) -> ObjectName:
    """Return the name of a segment object."""
    return ObjectName(f"log-{log:02d}-{number:08d}")


def _parse_numbers(name: ObjectName, stored: StoredObject) -> _LogNumbers | None:
    first = stored.spec.get("first")
    trimmed = stored.spec.get("trimmed", 0)
    if _is_segment_number(first) and _is_segment_number(trimmed):
        return _LogNumbers(first=first, trimmed=trimmed)
    log_event(claim_events.CLAIM_SEGMENT_INVALID, object=name)
    return None


def _is_segment_number(value: object) -> TypeGuard[int]:
    return type(value) is int and 0 <= value < SEGMENT_NUMBER_LIMIT


def _parse(name: ObjectName, stored: StoredObject) -> Segment | None:
    try:
        return read_segment(stored.spec)
    except ValueError as error:
        log_event(
            claim_events.CLAIM_SEGMENT_INVALID, object=name, reason=repr(error)[:200]
        )
        return None
