"""Make work from callers' requests."""

import json
import time
from collections.abc import Mapping

from result import Err, Ok, Result

from bramleyport.callers import CallerRequest
from bramleyport.core import (
    ErrorCode,
    Execution,
    ModelVersion,
    RequestId,
    ServeError,
    ServiceKind,
    ServiceName,
    Targets,
    Work,
    count_tokens,
    digest_prefix,
)
from bramleyport.dispatch._attempt import Call
from bramleyport.records import ServiceRecord

DEFAULT_BLOCK_TOKENS = 1000


def find_record(
    records: Mapping[ServiceName, ServiceRecord], request: CallerRequest
) -> Result[ServiceRecord, ServeError]:
    """Return the record that a request names by service or by model."""
    record = records.get(ServiceName(request.target))
    if record is not None and record.kind is request.kind:
        return Ok(record)
    if request.kind is ServiceKind.LANGUAGE:
        for name in sorted(records):
            model = records[name].model
            if model is not None and model.name == request.target:
                return Ok(records[name])
        return Err(
            _make_lookup_error(
                ErrorCode.UNKNOWN_MODEL, f"no model {request.target[:80]!r}"
            )
        )
    message = f"no service {request.target[:80]!r}"
    return Err(_make_lookup_error(ErrorCode.UNKNOWN_SERVICE, message))


def build_work(
    request: CallerRequest, record: ServiceRecord, identifier: RequestId
) -> Result[Work, ServeError]:
    """Return the work of a request under its service record."""
    targets = record.ranks.get(request.rank)
    if targets is None:
        known = ", ".join(sorted(rank.value for rank in record.ranks))
        message = f"{record.name} accepts the ranks {known}"
        return Err(_make_lookup_error(ErrorCode.UNKNOWN_RANK, message))
    if record.model is None:
        return Ok(_build_plain_work(identifier, request, record, targets))
    if request.adapter is not None and request.adapter not in record.model.adapters:
        message = f"{record.name} has no adapter {request.adapter[:80]!r}"
        return Err(_make_lookup_error(ErrorCode.UNKNOWN_MODEL, message))
    versions = record.model.versions
    return Ok(
        Work(
            request=identifier,
            account=request.account,
            service=record.name,
            kind=ServiceKind.LANGUAGE,
            rank=request.rank,
            targets=targets,
            arrived_s=time.monotonic(),
            model=record.model.name,
            version=versions[-1] if versions else ModelVersion(""),
            adapter=request.adapter,
            prompt_tokens=count_tokens(request.prompt),
            max_output_tokens=request.max_tokens,
            prefix_blocks=digest_prefix(request.prompt, DEFAULT_BLOCK_TOKENS),
        )
    )


def build_call(request: CallerRequest) -> Call:
    """Return the call that an upstream runs for a request."""
    body = request.body
    if request.kind is ServiceKind.LANGUAGE:
        body = json.dumps({"prompt": request.prompt}).encode()
    return Call(
        method=request.method,
        path=request.path,
        headers=dict(request.headers),
        body=body,
    )


def check_key(request: CallerRequest, record: ServiceRecord) -> ServeError | None:
    """Return the error of a call that lacks a required idempotency key."""
    plain = record.plain
    if plain is None or request.key is not None or plain.allow_unkeyed:
        return None
    if request.method in plain.repeatable_methods:
        return None
    message = f"{request.method} on {record.name} needs an Idempotency-Key header"
    return _make_lookup_error(ErrorCode.KEY_REQUIRED, message)


def _build_plain_work(
    identifier: RequestId,
    request: CallerRequest,
    record: ServiceRecord,
    targets: Targets,
) -> Work:
    assert record.plain is not None
    return Work(
        request=identifier,
        account=request.account,
        service=record.name,
        kind=ServiceKind.PLAIN,
        rank=request.rank,
        targets=targets,
        arrived_s=time.monotonic(),
        idempotent=request.method in record.plain.repeatable_methods,
    )


def _make_lookup_error(code: ErrorCode, message: str) -> ServeError:
    return ServeError(
        code=code, message=message, execution=Execution.NOT_RUN, step="lookup"
    )
