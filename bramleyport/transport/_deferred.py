"""Conversion of coroutines to Twisted deferreds."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def run_as_deferred(coroutine: Coroutine[Any, Any, T]) -> "Deferred[T | None]":
    """Start a coroutine and return a deferred of its result.

    HTTP servers cancel the deferred when a client disconnects, which is not an error.
    """
    deferred: Deferred[T | None] = Deferred.fromFuture(asyncio.ensure_future(coroutine))
    deferred.addErrback(_ignore_cancellation)
    return deferred


def _ignore_cancellation(failure: Failure) -> None:
    failure.trap(asyncio.CancelledError, CancelledError)
