"""Messages that forward changes of claims to the writer of a claim log."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bramleyport.core import AttemptId
from bramleyport.wire._messages import Message, message


class ClaimAction(str, Enum):
    """Define the changes of a claim that are forwarded."""

    CLAIM = "claim"
    RELEASE = "release"
    OUTCOME = "outcome"


class ClaimReply(str, Enum):
    """Define the replies to a forwarded change."""

    DECIDED = "decided"
    # The change is still being written; the sender keeps waiting.
    PENDING = "pending"
    FAILED = "failed"


@message("claim_forward")
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimForward(Message):
    """Request that the writer of a claim log records a change of a claim."""

    # Identifies this message among those of the sending process.
    number: int
    action: ClaimAction
    key: str
    attempt: AttemptId
    body_digest: str = ""
    answer_s: float = 0.0
    unsent: tuple[AttemptId, ...] = ()
    # The answer that is stored with an outcome; status 0 means that there is none.
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: str | None = None


@message("claim_decision")
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDecision(Message):
    """Reply to a forwarded change; `segment` locates a stored answer."""

    number: int
    reply: ClaimReply
    decision: str = ""
    segment: int = -1
    # Whether a failed change may have been recorded nevertheless.
    in_doubt: bool = False
