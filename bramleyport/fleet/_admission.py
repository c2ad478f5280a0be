"""Refuse at once what can't be answered in time, and say when to come back."""

from typing import Final

from bramleyport.admission import Admitted, Rejected
from bramleyport.core import Explanation
from bramleyport.fleet._choice import Choice
from bramleyport.fleet._types import Call

# Registrations arrive within about this time of an upstream's start.
NO_UPSTREAM_RETRY_S: Final = 0.5
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 3.0
# Part of the time left that a forecast may take; forecasts of a burst run short.
USABLE_PART: Final = 0.9


def admit(
    call: Call, choice: Choice | None, now_s: float, *, tried: bool = False
) -> Admitted | Rejected:
    """Accept a call unless its forecast says that it ends too late.

    Of one that was tried before, part of the answer may be with its caller already.
    """
    remaining_s = call.deadline_s - now_s
    if choice is None:
        explanation = Explanation(
            reason="no_upstream", numbers={"left_s": round(remaining_s, 3)}
        )
        return Rejected(explanation, NO_UPSTREAM_RETRY_S)
    decode_s = 0.0 if tried else choice.decode_s
    numbers = {
        **choice.explanation.numbers,
        "run_s": round(decode_s, 3),
        "left_s": round(remaining_s, 3),
    }
    needed_s = choice.forecast_s + decode_s
    if needed_s <= remaining_s * USABLE_PART:
        return Admitted(Explanation(reason=choice.explanation.reason, numbers=numbers))
    # By then enough of the queue has been read for the call to fit.
    over_s = needed_s - remaining_s * USABLE_PART
    retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, over_s))
    return Rejected(Explanation(reason="too_late", numbers=numbers), retry_s)
