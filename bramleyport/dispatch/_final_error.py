"""Errors returned for requests that are given up or that a service refused."""

from bramleyport.core import ErrorCode, Execution, ServeError
from bramleyport.retries import AttemptFailure, FailureKind, GiveUp
from bramleyport.wire import End


def make_final_error(
    failure: AttemptFailure, decision: GiveUp, execution: Execution
) -> ServeError:
    """Return the final error of a request after its last attempt."""
    code = ErrorCode.UPSTREAM_FAILED
    if failure.kind is FailureKind.REFUSED:
        code = ErrorCode.OVERLOADED
    if decision.explanation.reason == "deadline":
        code = ErrorCode.DEADLINE
    return ServeError(
        code=code,
        message=f"{failure.kind.value}; {decision.explanation.reason}",
        execution=execution,
        step="attempt",
        peer=failure.upstream,
        retry_after_s=decision.retry_after_s,
    )


def make_unproven_refusal_error(end: End, execution: Execution) -> ServeError:
    """Return the error in place of a service's refusal that may follow a run.

    Its status would promise the caller that the call was not run, but services also
    answer so when they time out or fail midway.
    """
    return ServeError(
        code=ErrorCode.UPSTREAM_FAILED,
        message=f"the service answered {end.status}, which may follow a run",
        execution=execution,
        step="attempt",
    )
