"""Guard completions that an agent resumes: no token may be missing or come twice."""

from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from bramleyport.agent._attempt import AgentAttempt
from bramleyport.core import AttemptId, Execution
from bramleyport.upstreams import (
    Completion,
    CompletionEnd,
    EngineClient,
    Token,
    UpstreamError,
)
from bramleyport.wire import Execute
from tests.test_ranked_queue import make_item

Run = Callable[[Coroutine[Any, Any, Any]], Any]
TEXTS = ("a", "b", "c", "d")


class ResumingEngine(EngineClient):
    """Represent an engine whose stream breaks off and is resumed at some token."""

    def __init__(self, sent: int, resumed_at: int) -> None:
        super().__init__("http://127.0.0.1:1")
        self._sent = sent
        self._resumed_at = resumed_at

    async def complete(
        self, completion: Completion
    ) -> AsyncIterator[Token | CompletionEnd]:
        for text in TEXTS[: self._sent]:
            yield Token(text)
        raise UpstreamError("complete", "engine", "cut", Execution.UNKNOWN)

    async def resume(
        self, job: str, next_token: int
    ) -> AsyncIterator[Token | CompletionEnd]:
        for text in TEXTS[self._resumed_at :]:
            yield Token(text)
        yield CompletionEnd(len(TEXTS))


class RecordingConnection:
    """Represent the connection to an entry."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)


def make_attempt() -> AgentAttempt:
    execute = Execute(
        attempt=AttemptId("t1"),
        work=make_item(1).work,
        method="POST",
        path="",
        headers={},
        body=b'{"prompt": "p"}',
        time_left_s=10.0,
    )
    connection: Any = RecordingConnection()
    return AgentAttempt(execute, connection)


@pytest.mark.parametrize("sent", range(len(TEXTS) + 1))
@pytest.mark.parametrize("resumed_at", range(len(TEXTS) + 1))
def test_completion_is_whole_only_if_it_is_resumed_at_its_next_token(
    run: Run, sent: int, resumed_at: int
) -> None:
    """Guards against a whole answer with a gap, or with tokens that come twice."""
    attempt = make_attempt()
    run(attempt.run(ResumingEngine(sent, resumed_at)))
    assert attempt.answered is (sent == resumed_at)
    if not attempt.answered:
        assert attempt.failed is not None
        assert attempt.failed.execution is Execution.UNKNOWN
