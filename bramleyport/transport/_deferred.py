"""Hand coroutines to Twisted."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def run_as_deferred(coroutine: Coroutine[Any, Any, T]) -> "Deferred[T | None]":
    """Start a coroutine and return the deferred of its result.

    HTTP servers cancel the deferred when a client has gone; that is no error.
    """
    deferred: Deferred[T | None] = Deferred.fromFuture(asyncio.ensure_future(coroutine))
    deferred.addErrback(_ignore_cancel)
    return deferred


def _ignore_cancel(failure: Failure) -> None:
    failure.trap(asyncio.CancelledError, CancelledError)
