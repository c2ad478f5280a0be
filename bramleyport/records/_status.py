"""Status of a record, which the system reports to operators."""

import hashlib
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from bramleyport.core import Problem, Rank, Revision, make_strict_converter


class ConditionType(str, Enum):
    """Represent the conditions of a record."""

    VALID = "valid"
    IN_FORCE = "in_force"
    SERVABLE = "servable"


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Describe whether a condition holds, and what is missing if it does not."""

    type: ConditionType
    holds: bool
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RankCounts:
    """Count the requests of one rank by how they ended."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    unknown: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordStatus:
    """Describe the status of one record."""

    observed_revision: Revision
    in_force: int = 0
    processes: int = 0
    # Counts of the requests on all entries since `counts_since`.
    ranks: Mapping[Rank, RankCounts] = field(default_factory=dict)
    counts_since: str = ""
    # Processes that use an older revision, at most `MAX_LAGGING_IN_STATUS` of them.
    lagging: Sequence[str] = ()
    engines_by_role: Mapping[str, int] = field(default_factory=dict)
    decisions: Sequence[str] = ()
    conditions: Sequence[Condition] = ()
    reported_by: str = ""
    spec_digest: str = ""


MAX_LAGGING_IN_STATUS: Final = 10

_converter = make_strict_converter()


def compute_spec_digest(spec: Mapping[str, Any]) -> str:
    """Return a digest of the spec."""
    text = json.dumps(spec, sort_keys=True, default=str).encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def get_spec_revision(
    spec: Mapping[str, Any], status: RecordStatus | None, revision: Revision
) -> Revision:
    """Return the revision of the last change to the spec.

    Writing a status raises the object's revision too. A status therefore contains the
    revision and the digest of the spec that it describes.
    """
    if status is not None and status.spec_digest == compute_spec_digest(spec):
        return status.observed_revision
    return revision


def write_status(status: RecordStatus) -> dict[str, Any]:
    """Convert a status to the document that is stored."""
    document: dict[str, Any] = _converter.unstructure(status)
    return document


def read_status(document: Mapping[str, Any]) -> RecordStatus | None:
    """Return the status in a document, or None if there is none yet."""
    if not document:
        return None
    return _converter.structure(document, RecordStatus)


def make_conditions(
    problems: Sequence[Problem], in_force: int, processes: int, upstreams: int
) -> tuple[Condition, ...]:
    """Return the conditions of a record."""
    valid = Condition(
        type=ConditionType.VALID,
        holds=not problems,
        message="; ".join(problem.describe() for problem in problems),
    )
    waiting = processes - in_force
    in_force_condition = Condition(
        type=ConditionType.IN_FORCE,
        holds=not problems and waiting <= 0,
        message="" if waiting <= 0 else f"{waiting} processes have an older revision",
    )
    servable = Condition(
        type=ConditionType.SERVABLE,
        holds=upstreams > 0,
        message="" if upstreams else "no live upstream serves it; check the host list",
    )
    return (valid, in_force_condition, servable)
