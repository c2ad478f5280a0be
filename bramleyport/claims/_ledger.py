"""Write the changes of one claim shard in batches, conditionally."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from bramleyport.claims._shard import ClaimChange, Decision, Shard, apply_changes

MAX_TRIES: Final = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeAsked:
    """Ask for a change under a number that its decision will carry."""

    number: int
    change: ClaimChange


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRead:
    """Report the shard as read; version 0 when there is no object yet."""

    op: int
    shard: Shard
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardWritten:
    """Report that a write took effect."""

    op: int
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardConflict:
    """Report that another writer changed the shard first."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardFailed:
    """Report a call that certainly had no effect."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardInDoubt:
    """Report a write that may have taken effect."""

    op: int


LedgerEvent = (
    ChangeAsked | ShardRead | ShardWritten | ShardConflict | ShardFailed | ShardInDoubt
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadShard:
    """Read the shard object."""

    op: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteShard:
    """Write the shard if it has the version; version 0 creates it."""

    op: int
    expected: int
    shard: Shard


@dataclass(frozen=True, slots=True, kw_only=True)
class Decide:
    """Give the durable decision on a change."""

    number: int
    decision: Decision


@dataclass(frozen=True, slots=True, kw_only=True)
class FailChange:
    """Give up on a change; when in doubt, it may have been recorded."""

    number: int
    in_doubt: bool


LedgerAction = ReadShard | WriteShard | Decide | FailChange


class ClaimLedger:
    """Apply changes to one shard and decide only what is durable.

    Applying a change twice has the effect of applying it once, so a batch whose write
    is in doubt and whose token is not found is simply applied to what was read.
    """

    def __init__(self, make_token: Callable[[], str]) -> None:
        self._make_token = make_token
        self._waiting: list[ChangeAsked] = []
        self._batch: list[ChangeAsked] = []
        self._decisions: list[Decision] = []
        self._written: Shard | None = None
        self._known: tuple[Shard, int] | None = None
        self._in_doubt = False
        self._was_in_doubt = False
        self._tries = 0
        self._op = 0

    def step(self, event: LedgerEvent, now_s: float) -> list[LedgerAction]:
        """Take an event at a wall clock time and return what to do."""
        if isinstance(event, ChangeAsked):
            self._waiting.append(event)
            return [] if self._batch else self._start(now_s)
        if event.op != self._op or not self._batch:
            return []  # the answer to a call that was given up
        if isinstance(event, ShardRead):
            return self._take_read(event, now_s)
        if isinstance(event, ShardWritten):
            assert self._written is not None
            self._known = (self._written, event.version)
            return self._finish(now_s)
        if isinstance(event, ShardFailed):
            return self._give_up(now_s)
        self._known = None
        self._in_doubt = isinstance(event, ShardInDoubt)
        self._was_in_doubt |= self._in_doubt
        return [self._read()]

    def _start(self, now_s: float) -> list[LedgerAction]:
        self._batch, self._waiting = self._waiting, []
        self._tries = 0
        self._in_doubt = self._was_in_doubt = False
        if not self._batch:
            return []
        # The only writer of a shard knows it from its own last write.
        return [self._read()] if self._known is None else self._write(now_s)

    def _read(self) -> LedgerAction:
        self._op += 1
        return ReadShard(op=self._op)

    def _take_read(self, event: ShardRead, now_s: float) -> list[LedgerAction]:
        self._known = (event.shard, event.version)
        written = self._written
        token = written.write_token if written is not None else None
        if self._in_doubt and event.shard.write_token == token:
            return self._finish(now_s)
        self._in_doubt = False
        return self._write(now_s)

    def _write(self, now_s: float) -> list[LedgerAction]:
        assert self._known is not None
        self._tries += 1
        if self._tries > MAX_TRIES:
            return self._give_up(now_s)
        shard, version = self._known
        changes = [asked.change for asked in self._batch]
        after, self._decisions = apply_changes(shard, changes, now_s)
        # Also a batch that changes nothing is written: the new version keeps an
        # earlier write in doubt from taking effect later.
        self._written = replace(after, write_token=self._make_token())
        self._op += 1
        return [WriteShard(op=self._op, expected=version, shard=self._written)]

    def _finish(self, now_s: float) -> list[LedgerAction]:
        decided: list[LedgerAction] = [
            Decide(number=asked.number, decision=decision)
            for asked, decision in zip(self._batch, self._decisions, strict=True)
        ]
        self._batch = []
        return decided + self._start(now_s)

    def _give_up(self, now_s: float) -> list[LedgerAction]:
        failed: list[LedgerAction] = [
            FailChange(number=asked.number, in_doubt=self._was_in_doubt)
            for asked in self._batch
        ]
        self._batch = []
        self._known = None
        return failed + self._start(now_s)
