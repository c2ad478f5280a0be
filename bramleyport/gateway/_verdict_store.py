"""Keep the verdicts on traits in the store, so that they outlast gateways."""

import asyncio
import hashlib
import math
from functools import partial
from typing import Final

from result import Err, Ok, Result

from bramleyport.fleet import (
    MAX_VERDICTS,
    TRIAL_SPACING_S,
    TraitId,
    Verdict,
    choose_trial_interval,
    describe_traits,
)
from bramleyport.gateway._clock import read_now
from bramleyport.gateway._object_guard import ObjectGuard
from bramleyport.gateway._released_verdicts import ReleasedVerdicts
from bramleyport.gateway._repair_queue import RepairQueue
from bramleyport.gateway._state import GatewayState
from bramleyport.gateway._stored_verdict import StoredVerdict, merge_stored
from bramleyport.gateway._trial_permits import TrialPermits
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
        self._stored: dict[TraitId, StoredVerdict] = {}
        # Verdicts of this gateway that the store does not have yet.
        self._unwritten: dict[TraitId, Verdict] = {}
        # Traits that were released but may still be in the store.
        self._unremoved: set[TraitId] = set()
        self._permits = TrialPermits()
        # When a trial of any trait was last permitted at any gateway.
        self._last_trial_s = -math.inf
        self._released = ReleasedVerdicts()
        # Traits whose verdict a restored store lacks, or has though it was released.
        self._repairs = RepairQueue(state.settings.process, state.roster)
        self._work_pending = asyncio.Event()

    def apply_listing(self, listing: Listing, *, restored: bool = False) -> None:
        """Replace the stored verdicts with a list."""
        self._guard.record_listing(listing)
        known = set(self._stored)
        if restored:
            known |= {item.trait for item in self._state.crash_evidence.verdicts}
        listed = {
            self._guard.apply(item, partial(self._apply_stored, item))
            for item in listing.objects
        }
        if listing.nameless or not listing.is_complete:
            # Any of the missing verdicts may be among them.
            return
        for trait in known - listed:
            if not restored:
                self._release(trait, "no longer stored")
            elif trait not in self._unremoved:
                self._schedule_repair(trait)

    def apply_changes(self, batch: ChangeBatch) -> None:
        """Apply changes of stored verdicts."""
        for change in batch.changes:
            action = self._release_stored if change.removed else self._apply_stored
            self._guard.apply(change.object, partial(action, change.object))

    def record_store_answer(self, age_s: float = 0.0, missed_s: float = 0.0) -> None:
        """Keep the verdicts, whether or not the store answers."""

    def record_store_failure(self, silent_s: float = 0.0) -> None:
        """Keep the verdicts, whether or not the store answers."""

    def write(self, verdict: Verdict) -> None:
        """Write a verdict in the background."""
        self._unremoved.discard(verdict.trait)
        self._unwritten[verdict.trait] = verdict
        self._work_pending.set()

    def remove(self, trait: TraitId) -> None:
        """Remove the verdict on a trait that proved harmless, in the background."""
        verdict = self._unwritten.pop(trait, None)
        if trait in self._stored:
            self._record_released(self._stored[trait].document)
        elif verdict is not None:
            self._record_released(VerdictDocument(verdict=verdict, trials=0))
        self._repairs.drop(trait)
        self._unremoved.add(trait)
        self._work_pending.set()

    def take_trial(self, trait: TraitId, now_s: float) -> bool:
        """Return whether a call with a withheld trait may be sent as a trial."""
        return self._permits.take(trait, now_s)

    def return_trial(self, trait: TraitId, now_s: float) -> None:
        """Return the permit of a trial that was not sent."""
        if trait in self._stored:
            self._permits.add(trait, now_s)

    async def request_trial(self, trait: TraitId) -> None:
        """Request a permit if a trial is due, and wait a short time for the answer."""
        if trait in self._stored and self.forecast_trial(trait, read_now()) <= 0:
            self._work_pending.set()
            await self._permits.wait(trait)

    def forecast_trial(self, trait: TraitId, now_s: float) -> float:
        """Return the seconds until a call with a withheld trait may be tried."""
        stored = self._stored.get(trait)
        if stored is None:
            return choose_trial_interval(trait, 0)
        interval_s = choose_trial_interval(trait, stored.document.trials)
        spaced_s = self._last_trial_s + TRIAL_SPACING_S
        return max(0.0, stored.changed_s + interval_s - now_s, spaced_s - now_s)

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
            trait = TraitId(key)
            if not await self._repair(trait):
                self._repairs.postpone(trait, read_now() + WRITE_RETRY_S)

    async def _repair(self, trait: TraitId) -> bool:
        """Write what is known of a trait, and return whether it is in the store."""
        document = self._find_document(trait)
        if document is None:
            is_released = self._released.is_recent(trait, read_now())
            return not is_released or await self._remove_one(trait)
        spec = encode_verdict(document.verdict, document.trials)
        result = await self._store.create(KIND, _make_name(trait), spec)
        if _is_conflict(result):
            if not await self._read_again(trait):
                return False
            stored = self._stored.get(trait)
            if stored is None or stored.is_complete:
                return True
            document = stored.document
            spec = encode_verdict(document.verdict, document.trials)
            name, revision = _make_name(trait), stored.revision
            result = await self._store.replace(KIND, name, spec, revision)
        if isinstance(result, Err):
            _log_failure(trait, result.err_value)
            return False
        log_event(gateway_events.VERDICT_REWRITTEN, trait=trait, trials=document.trials)
        self._apply_answered(result.ok_value)
        return True

    async def _read_again(self, trait: TraitId) -> bool:
        """Return whether the stored verdict on a trait was read."""
        result = await self._store.get(KIND, _make_name(trait))
        if isinstance(result, Err):
            _log_failure(trait, result.err_value)
            return False
        self._apply_answered(result.ok_value)
        return True

    def _find_document(self, trait: TraitId) -> VerdictDocument | None:
        stored = self._stored.get(trait)
        if stored is not None:
            return stored.document
        for verdict in self._state.crash_evidence.verdicts:
            if verdict.trait == trait:
                return VerdictDocument(verdict=verdict, trials=0)
        return None

    def _schedule_repair(self, trait: TraitId) -> None:
        self._repairs.add(trait, read_now())
        self._work_pending.set()

    def _record_released(self, document: VerdictDocument) -> None:
        self._released.record(document, self._store.eras.newest, read_now())

    def _apply_answered(self, item: StoredObject) -> None:
        """Apply an object of an answer, which the watch may have overtaken."""
        document = self._guard.decode(item, _decode)
        if document is None:
            return
        trait = document.verdict.trait
        if trait in self._unremoved or self._released.is_recent(trait, read_now()):
            return
        known = self._stored.get(trait)
        if known is None or known.revision < item.revision:
            self._apply_stored(item)

    async def _write_pending(self) -> bool:
        """Return whether nothing is left to be written."""
        for trait in list(self._unremoved):
            if await self._remove_one(trait) and trait in self._unremoved:
                self._unremoved.discard(trait)
                self._release(trait, "removed from the store")
        for trait, verdict in list(self._unwritten.items()):
            if await self._write_one(verdict) and self._unwritten.get(trait) == verdict:
                del self._unwritten[trait]
        for trait in self._permits.list_requested():
            await self._request_permit(trait)
            self._permits.answer(trait)
        return not self._unwritten and not self._unremoved

    async def _write_one(self, verdict: Verdict) -> bool:
        stored = self._stored.get(verdict.trait)
        name = _make_name(verdict.trait)
        trials = stored.document.trials if stored else 0
        document = encode_verdict(verdict, trials)
        result = await self._store.create(KIND, name, document)
        if _is_conflict(result) and (
            stored is None or stored.document.verdict != verdict
        ):
            # Another gateway was first, or the verdict names fewer companions now.
            if stored is not None and self._is_outdated(stored):
                # It is written at the next try, on what the restored store has.
                await self._read_again(verdict.trait)
                return False
            revision = stored.revision if stored else None
            result = await self._store.replace(KIND, name, document, revision)
        if isinstance(result, Err) and not _is_conflict(result):
            _log_failure(verdict.trait, result.err_value)
            return False
        if isinstance(result, Ok):
            self._apply_answered(result.ok_value)
            self._remove_excess()
        return True

    def _remove_excess(self) -> None:
        """Remove the oldest verdicts beyond the bound."""
        by_age = sorted(self._stored.values(), key=lambda item: item.revision)
        for stored in by_age[: max(0, len(by_age) - MAX_VERDICTS)]:
            self.remove(stored.document.verdict.trait)

    def _is_outdated(self, stored: StoredVerdict) -> bool:
        """Return whether a verdict has its revision from an era that has ended."""
        return stored.revision.era < self._store.eras.newest

    async def _remove_one(self, trait: TraitId) -> bool:
        result = await self._store.remove(KIND, _make_name(trait))
        if isinstance(result, Err) and (
            result.err_value.failure is not StoreFailure.NOT_FOUND
        ):
            _log_failure(trait, result.err_value)
            return False
        return True

    async def _request_permit(self, trait: TraitId) -> None:
        stored = self._stored.get(trait)
        if stored is not None and self._is_outdated(stored):
            # A local conflict would not mean that another gateway has the trial.
            await self._read_again(trait)
            stored = self._stored.get(trait)
        if stored is None:
            return
        document = encode_verdict(stored.document.verdict, stored.document.trials + 1)
        name = _make_name(trait)
        result = await self._store.replace(KIND, name, document, stored.revision)
        if isinstance(result, Err):
            # Another gateway has the trial, or the store does not answer.
            return
        self._permits.add(trait, read_now())
        self._last_trial_s = read_now()
        log_event(
            gateway_events.TRIAL_PERMITTED,
            trait=trait,
            trials=stored.document.trials + 1,
        )

    def _release_stored(self, item: StoredObject) -> TraitId | None:
        """Release the trait of a verdict that was removed from the store."""
        document = self._guard.decode(item, _decode)
        self._guard.forget(item.name)
        trait = document.verdict.trait if document else self._find_trait(item.name)
        stored = self._stored.get(trait) if trait is not None else None
        if stored is not None and stored.name != item.name:
            # Another writer's object about the same trait.
            return None
        if trait is not None:
            self._repairs.drop(trait)
            self._release(trait, "removed from the store")
        return trait

    def _find_trait(self, name: ObjectName) -> TraitId | None:
        """Return the trait on which an object has held a valid verdict."""
        return next((p for p, item in self._stored.items() if item.name == name), None)

    def _apply_stored(self, item: StoredObject) -> TraitId | None:
        """Apply a verdict and return its trait; the last valid one stays in force."""
        document = self._guard.decode(item, _decode)
        if document is None:
            return self._find_trait(item.name)
        verdict = document.verdict
        evidence = self._state.crash_evidence
        if self._released.is_copy(document, item.revision.era, read_now()):
            self._schedule_repair(verdict.trait)
            return None
        if not evidence.is_plausible(verdict):
            if item.name == _make_name(verdict.trait):
                self.remove(verdict.trait)
            return None
        known = self._stored.get(verdict.trait)
        own_name = _make_name(verdict.trait)
        if known is not None and known.name == own_name != item.name:
            # Another writer's object about the same trait.
            return verdict.trait
        self._unremoved.discard(verdict.trait)
        if known is not None and document.trials > known.document.trials:
            self._last_trial_s = read_now()
        stored = merge_stored(
            self._stored.get(verdict.trait), document, item, read_now()
        )
        self._stored[verdict.trait] = stored
        if stored.is_complete:
            self._repairs.drop(verdict.trait)
        else:
            self._schedule_repair(verdict.trait)
        if evidence.apply_verdict(verdict):
            log_verdict(verdict, "store")
        return verdict.trait

    def _release(self, trait: TraitId, reason: str) -> None:
        stored = self._stored.pop(trait, None)
        if stored is not None:
            self._record_released(stored.document)
        self._permits.discard(trait)
        if self._state.crash_evidence.has_verdict(trait):
            self._state.crash_evidence.drop_verdict(trait)
            log_event(gateway_events.TRAIT_RELEASED, trait=trait, reason=reason)


def log_verdict(verdict: Verdict, origin: str) -> None:
    """Log that calls with a trait are withheld from now on."""
    log_event(
        gateway_events.TRAIT_WITHHELD,
        trait=verdict.trait,
        companions=describe_traits(verdict.companions - {verdict.trait}),
        crashes=verdict.crashes,
        origin=origin,
    )


def _is_conflict(result: Result[StoredObject, StoreError]) -> bool:
    if isinstance(result, Err):
        return result.err_value.failure is StoreFailure.CONFLICT
    return False


def _make_name(trait: TraitId) -> ObjectName:
    digest = hashlib.blake2b(trait.encode(), digest_size=16)
    return ObjectName(digest.hexdigest())


def _decode(item: StoredObject) -> VerdictDocument:
    return decode_verdict(item.read_document())


def _log_failure(trait: TraitId, error: StoreError) -> None:
    log_event(
        gateway_events.VERDICT_NOT_WRITTEN,
        trait=trait,
        failure=error.failure.value,
        reason=error.reason,
    )
