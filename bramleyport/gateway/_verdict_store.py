"""Keep the verdicts on prompt parts in the store, so that they outlast gateways."""

import asyncio
import hashlib
from functools import partial
from typing import Final

from result import Err, Ok, Result

from bramleyport.fleet import PrefixId, Verdict
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._released_verdicts import ReleasedVerdicts
from bramleyport.gateway._repair_queue import RepairQueue
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._stored_verdict import StoredVerdict, merge_stored
from bramleyport.platform import (
    ChangeBatch,
    Listing,
    ObjectKind,
    ObjectName,
    StoreClient,
    StoredObject,
    StoreError,
    StoreFailure,
    VerdictDocument,
    decode_verdict,
    encode_verdict,
)
from bramleyport.telemetry import gateway_events, log_event

KIND: Final = ObjectKind.VERDICTS
# Time after which one call with a withheld part is tried. It doubles after each trial.
FIRST_TRIAL_S: Final = 60.0
MAX_TRIAL_DOUBLINGS: Final = 6
# Time for which a permitted trial waits for a call with its part.
TRIAL_KEEP_S: Final = 30.0
WRITE_RETRY_S: Final = 1.0


class VerdictStore:
    """Write verdicts to the store, apply those of it, and permit trials.

    A trial is permitted by a conditional update of the stored verdict, so that there is
    one at a time whatever the number of gateways.

    A store that is restored from a copy takes back nothing: verdicts and trials that it
    lacks are written again, and verdicts released since the copy are removed again.
    """

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._guard = ObjectGuard(gateway_events.VERDICT_INVALID)
        self._stored: dict[PrefixId, StoredVerdict] = {}
        # Verdicts of this gateway that the store does not have yet.
        self._unwritten: dict[PrefixId, Verdict] = {}
        # Parts that were released but may still be in the store.
        self._unremoved: set[PrefixId] = set()
        self._trial_until_s: dict[PrefixId, float] = {}
        self._requested_trials: set[PrefixId] = set()
        self._released = ReleasedVerdicts()
        # Parts whose verdict a restored store lacks, or has though it was released.
        self._repairs = RepairQueue(
            state.settings.process, lambda: state.roster.gateways
        )
        self._work_pending = asyncio.Event()

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Replace the stored verdicts with a complete list."""
        self._guard.report_nameless(listing.nameless)
        self._guard.retain({item.name for item in listing.objects})
        known = set(self._stored)
        if restored:
            known |= {item.part for item in self._state.crash_evidence.verdicts}
        listed = {
            self._guard.apply(item, partial(self._apply_stored, item))
            for item in listing.objects
        }
        if listing.nameless:
            # Any of the missing verdicts may be among them.
            return
        for part in known - listed:
            if not restored:
                self._release(part, "no longer stored")
            elif part not in self._unremoved:
                self._schedule_repair(part)

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply changes of stored verdicts."""
        for change in batch.changes:
            action = self._release_stored if change.removed else self._apply_stored
            self._guard.apply(change.object, partial(action, change.object))

    def record_store_state(self, *, reachable: bool) -> None:
        """Keep the verdicts, whether or not the store answers."""

    def write(self, verdict: Verdict) -> None:
        """Write a verdict in the background."""
        self._unremoved.discard(verdict.part)
        self._unwritten[verdict.part] = verdict
        self._work_pending.set()

    def remove(self, part: PrefixId) -> None:
        """Remove the verdict on a part that proved harmless, in the background."""
        verdict = self._unwritten.pop(part, None)
        if part in self._stored:
            self._record_released(self._stored[part].document)
        elif verdict is not None:
            self._record_released(VerdictDocument(verdict=verdict, trials=0))
        self._repairs.drop(part)
        self._unremoved.add(part)
        self._work_pending.set()

    def take_trial(self, part: PrefixId, now_s: float) -> bool:
        """Return whether a call with a withheld part may be sent as a trial."""
        if self._trial_until_s.pop(part, 0.0) > now_s:
            return True
        if self.forecast_trial(part, now_s) <= 0 and part in self._stored:
            self._requested_trials.add(part)
            self._work_pending.set()
        return False

    def forecast_trial(self, part: PrefixId, now_s: float) -> float:
        """Return the seconds until a call with a withheld part may be tried."""
        stored = self._stored.get(part)
        if stored is None:
            return FIRST_TRIAL_S
        doublings = min(stored.document.trials, MAX_TRIAL_DOUBLINGS)
        interval_s = FIRST_TRIAL_S * (1 << doublings)
        return max(0.0, stored.changed_s + interval_s - now_s)

    async def run(self) -> None:
        """Write what is pending until cancelled."""
        while True:
            await self._wait_for_work()
            self._work_pending.clear()
            await self._repair_due()
            if not await self._write_pending():
                await asyncio.sleep(WRITE_RETRY_S)
                self._work_pending.set()

    async def _wait_for_work(self) -> None:
        due_s = self._repairs.find_next()
        try:
            async with asyncio.timeout_at(due_s):
                await self._work_pending.wait()
        except TimeoutError:
            return

    async def _repair_due(self) -> None:
        for key in self._repairs.take_due(read_now()):
            part = PrefixId(key)
            if not await self._repair(part):
                self._repairs.postpone(part, read_now() + WRITE_RETRY_S)

    async def _repair(self, part: PrefixId) -> bool:
        """Write what is known of a part, and return whether it is in the store."""
        document = self._find_document(part)
        if document is None:
            is_released = self._released.is_recent(part, read_now())
            return not is_released or await self._remove_one(part)
        spec = encode_verdict(document.verdict, document.trials)
        result = await self._store.create(KIND, _make_name(part), spec)
        if _is_conflict(result):
            if not await self._read_again(part):
                return False
            stored = self._stored.get(part)
            if stored is None or stored.is_complete:
                return True
            document = stored.document
            spec = encode_verdict(document.verdict, document.trials)
            name, revision = _make_name(part), stored.revision
            result = await self._store.replace(KIND, name, spec, revision)
        if isinstance(result, Err):
            _log_failure(part, result.err_value)
            return False
        log_event(gateway_events.VERDICT_REWRITTEN, part=part, trials=document.trials)
        self._apply_answered(result.ok_value)
        return True

    async def _read_again(self, part: PrefixId) -> bool:
        """Return whether the stored verdict on a part was read."""
        result = await self._store.get(KIND, _make_name(part))
        if isinstance(result, Err):
            _log_failure(part, result.err_value)
            return False
        self._apply_answered(result.ok_value)
        return True

    def _find_document(self, part: PrefixId) -> VerdictDocument | None:
        stored = self._stored.get(part)
        if stored is not None:
            return stored.document
        for verdict in self._state.crash_evidence.verdicts:
            if verdict.part == part:
                return VerdictDocument(verdict=verdict, trials=0)
        return None

    def _schedule_repair(self, part: PrefixId) -> None:
        self._repairs.add(part, read_now())
        self._work_pending.set()

    def _record_released(self, document: VerdictDocument) -> None:
        self._released.record(document, self._store.eras.newest, read_now())

    def _apply_answered(self, item: StoredObject) -> None:
        """Apply an object of an answer, which the watch may have overtaken."""
        document = self._guard.decode(item, _decode)
        if document is None:
            return
        part = document.verdict.part
        if part in self._unremoved or self._released.is_recent(part, read_now()):
            return
        known = self._stored.get(part)
        if known is None or known.revision < item.revision:
            self._apply_stored(item)

    async def _write_pending(self) -> bool:
        """Return whether nothing is left to be written."""
        for part in list(self._unremoved):
            if await self._remove_one(part) and part in self._unremoved:
                self._unremoved.discard(part)
                self._release(part, "removed from the store")
        for part, verdict in list(self._unwritten.items()):
            if await self._write_one(verdict) and self._unwritten.get(part) == verdict:
                del self._unwritten[part]
        while self._requested_trials:
            await self._request_trial(self._requested_trials.pop())
        return not self._unwritten and not self._unremoved

    async def _write_one(self, verdict: Verdict) -> bool:
        stored = self._stored.get(verdict.part)
        name = _make_name(verdict.part)
        trials = stored.document.trials if stored else 0
        document = encode_verdict(verdict, trials)
        result = await self._store.create(KIND, name, document)
        if _is_conflict(result) and (
            stored is None or stored.document.verdict != verdict
        ):
            # Another gateway was first, or the verdict names fewer companions now.
            if stored is not None and self._is_outdated(stored):
                # It is written at the next try, on what the restored store has.
                await self._read_again(verdict.part)
                return False
            revision = stored.revision if stored else None
            result = await self._store.replace(KIND, name, document, revision)
        if isinstance(result, Err) and not _is_conflict(result):
            _log_failure(verdict.part, result.err_value)
            return False
        if isinstance(result, Ok):
            self._apply_answered(result.ok_value)
        return True

    def _is_outdated(self, stored: StoredVerdict) -> bool:
        """Return whether a verdict has its revision from an era that has ended."""
        return stored.revision.era < self._store.eras.newest

    async def _remove_one(self, part: PrefixId) -> bool:
        result = await self._store.remove(KIND, _make_name(part))
        if isinstance(result, Err) and (
            result.err_value.failure is not StoreFailure.NOT_FOUND
        ):
            _log_failure(part, result.err_value)
            return False
        return True

    async def _request_trial(self, part: PrefixId) -> None:
        stored = self._stored.get(part)
        if stored is not None and self._is_outdated(stored):
            # A local conflict would not mean that another gateway has the trial.
            await self._read_again(part)
            stored = self._stored.get(part)
        if stored is None:
            return
        document = encode_verdict(stored.document.verdict, stored.document.trials + 1)
        name = _make_name(part)
        result = await self._store.replace(KIND, name, document, stored.revision)
        if isinstance(result, Err):
            # Another gateway has the trial, or the store does not answer.
            return
        self._trial_until_s[part] = read_now() + TRIAL_KEEP_S
        log_event(
            gateway_events.TRIAL_PERMITTED,
            part=part,
            trials=stored.document.trials + 1,
        )

    def _release_stored(self, item: StoredObject) -> PrefixId | None:
        """Release the part of a verdict that was removed from the store."""
        document = self._guard.decode(item, _decode)
        self._guard.forget(item.name)
        part = document.verdict.part if document else self._find_part(item.name)
        stored = self._stored.get(part) if part is not None else None
        if stored is not None and stored.name != item.name:
            # Another writer's object about the same part.
            return None
        if part is not None:
            self._repairs.drop(part)
            self._release(part, "removed from the store")
        return part

    def _find_part(self, name: ObjectName) -> PrefixId | None:
        """Return the part on which an object has held a valid verdict."""
        return next((p for p, item in self._stored.items() if item.name == name), None)

    def _apply_stored(self, item: StoredObject) -> PrefixId | None:
        """Apply a verdict and return its part; the last valid one stays in force."""
        document = self._guard.decode(item, _decode)
        if document is None:
            return self._find_part(item.name)
        verdict = document.verdict
        evidence = self._state.crash_evidence
        if self._released.is_copy(document, item.revision.era, read_now()):
            self._schedule_repair(verdict.part)
            return None
        if not evidence.is_plausible(verdict):
            if item.name == _make_name(verdict.part):
                self.remove(verdict.part)
            return None
        known = self._stored.get(verdict.part)
        own_name = _make_name(verdict.part)
        if known is not None and known.name == own_name != item.name:
            # Another writer's object about the same part.
            return verdict.part
        self._unremoved.discard(verdict.part)
        stored = merge_stored(
            self._stored.get(verdict.part), document, item, read_now()
        )
        self._stored[verdict.part] = stored
        if stored.is_complete:
            self._repairs.drop(verdict.part)
        else:
            self._schedule_repair(verdict.part)
        if evidence.apply_verdict(verdict):
            log_verdict(verdict, "store")
        return verdict.part

    def _release(self, part: PrefixId, reason: str) -> None:
        stored = self._stored.pop(part, None)
        if stored is not None:
            self._record_released(stored.document)
        self._trial_until_s.pop(part, None)
        if any(item.part == part for item in self._state.crash_evidence.verdicts):
            self._state.crash_evidence.drop_verdict(part)
            log_event(gateway_events.PART_RELEASED, part=part, reason=reason)


def log_verdict(verdict: Verdict, origin: str) -> None:
    """Log that calls with a part are withheld from now on."""
    log_event(
        gateway_events.PART_WITHHELD,
        part=verdict.part,
        companions=sorted(verdict.companions - {verdict.part}),
        crashes=verdict.crashes,
        origin=origin,
    )


def _is_conflict(result: Result[StoredObject, StoreError]) -> bool:
    if isinstance(result, Err):
        return result.err_value.failure is StoreFailure.CONFLICT
    return False


def _make_name(part: PrefixId) -> ObjectName:
    digest = hashlib.blake2b(part.encode(), digest_size=16)
    return ObjectName(digest.hexdigest())


def _decode(item: StoredObject) -> VerdictDocument:
    return decode_verdict(item.read_document())


def _log_failure(part: PrefixId, error: StoreError) -> None:
    log_event(
        gateway_events.VERDICT_NOT_WRITTEN,
        part=part,
        failure=error.failure.value,
        reason=error.reason,
    )
