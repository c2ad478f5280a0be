"""Reject calls that can't be answered in time, with a time to retry after."""

from typing import Final

from bramleyport.admission import Admitted, Rejected
from bramleyport.core import Explanation
from bramleyport.fleet._choice import Choice
from bramleyport.fleet._types import Call

# An upstream registers within about this time of its start.
NO_UPSTREAM_RETRY_S: Final = 0.5
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 3.0
# Fraction of the remaining time that a forecast may take: forecasts are too short
# during bursts.
USABLE_FRACTION: Final = 0.9


def admit(
    call: Call, choice: Choice | None, now_s: float, *, tried: bool = False
) -> Admitted | Rejected:
    """Admit a call unless it is forecast to end after its deadline.

    A call that was tried before is only checked for its first token, since its caller
    may already have part of the answer.
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
    if needed_s <= remaining_s * USABLE_FRACTION:
        return Admitted(Explanation(reason=choice.explanation.reason, numbers=numbers))
    # After this time, enough of the queue has been processed for the call to fit.
    over_s = needed_s - remaining_s * USABLE_FRACTION
    retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, over_s))
    return Rejected(Explanation(reason="too_late", numbers=numbers), retry_s)
