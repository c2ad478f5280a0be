"""Remember which requests this gateway has had answered several times lately."""

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bramleyport.fleet._traits import LocalRequestKey, RequestIdentity

# Bound of the memory for any number of different requests.
MAX_RECENT_REQUESTS: Final = 8192
# Time for which the last answer speaks for a request.
RECENT_REQUEST_KEEP_S: Final = 60.0
# Fewer answers may come from upstreams that differ from those that crash.
MIN_RECENT_ANSWERS: Final = 3


@dataclass(slots=True)
class _RecentAnswers:
    """Describe the answers to one request without a long pause between them."""

    last_s: float
    count: int = 0


class RecentRequests:
    """Track all requests that were answered lately, whether or not they are accused."""

    def __init__(self) -> None:
        # The request that was not answered for the longest time first.
        self._answers: OrderedDict[LocalRequestKey, _RecentAnswers] = OrderedDict()

    def __len__(self) -> int:
        return len(self._answers)

    def record(self, identity: RequestIdentity, answered_s: float) -> None:
        """Record that a request was answered."""
        self._drop_old(answered_s)
        key = identity.local_key
        answers = self._answers.setdefault(key, _RecentAnswers(answered_s))
        answers.last_s = max(answers.last_s, answered_s)
        answers.count += 1
        self._answers.move_to_end(key)
        if len(self._answers) > MAX_RECENT_REQUESTS:
            self._answers.popitem(last=False)

    def find(self, identity: RequestIdentity) -> float:
        """Return when a request was last answered; -inf if unknown."""
        answers = self._answers.get(identity.local_key)
        return -math.inf if answers is None else answers.last_s

    def includes(self, identity: RequestIdentity, now_s: float) -> bool:
        """Return whether a request was answered several times lately."""
        answers = self._answers.get(identity.local_key)
        return (
            answers is not None
            and answers.count >= MIN_RECENT_ANSWERS
            and now_s - answers.last_s <= RECENT_REQUEST_KEEP_S
        )

    def _drop_old(self, now_s: float) -> None:
        while self._answers:
            key, answers = next(iter(self._answers.items()))
            if now_s - answers.last_s <= RECENT_REQUEST_KEEP_S:
                return
            del self._answers[key]
