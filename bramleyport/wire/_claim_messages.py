"""Messages that carry changes of claims to the writer of their log."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bramleyport.core import AttemptId
from bramleyport.wire._messages import Message, message


class ClaimAction(str, Enum):
    """Name the changes of a claim that are forwarded."""

    CLAIM = "claim"
    RELEASE = "release"
    OUTCOME = "outcome"


class ClaimReply(str, Enum):
    """Name the answers to a forwarded change."""

    DECIDED = "decided"
    # Still being written: the sender waits on.
    PENDING = "pending"
    FAILED = "failed"


@message("claim_forward")
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimForward(Message):
    """Ask the writer of a claim log to record a change of a claim."""

    # Names this message among those of the sending process.
    number: int
    action: ClaimAction
    key: str
    attempt: AttemptId
    body_digest: str = ""
    answer_s: float = 0.0
    unsent: tuple[AttemptId, ...] = ()
    # The answer of an outcome; status 0 stands for none.
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: str | None = None


@message("claim_decision")
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDecision(Message):
    """Answer a forwarded change; a stored answer is in the segment named."""

    number: int
    reply: ClaimReply
    decision: str = ""
    segment: int = -1
    # Whether a change that failed may have been recorded.
    in_doubt: bool = False
