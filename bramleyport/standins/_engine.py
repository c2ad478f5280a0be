"""Stand-in for a model engine over HTTP."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, Final

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from bramleyport.core import EngineRole, PrefixBlock, count_tokens, digest_prefix
from bramleyport.standins._engine_model import EngineJob, EngineModel, EngineProfile
from bramleyport.standins._http import break_connection, read_json, reply_json
from bramleyport.transport import run_as_deferred

LOAD_REFRESH_INTERVAL_S: Final = 0.5
KV_BYTES_PER_TOKEN: Final = 131_072
KV_BYTES_PER_S: Final = 10e9
OUTPUT_WORDS: Final = (
    "helmet",
    "valid",
    "until",
    "season",
    "advance",
    "posted",
    "note",
)
ROLES_BY_NAME: Final = {role.value: role for role in EngineRole}


@dataclass(slots=True)
class EngineFaults:
    """Describe the faults that tests switch on."""

    crash_in_order: bool = False
    break_streams_after: int | None = None
    cache_event_gap: bool = False
    fail_export: bool = False
    fail_import: bool = False
    hold_export: bool = False


@dataclass(slots=True)
class Stream:
    """Track the tokens of one request, so that its stream can be resumed."""

    tokens: list[str] = field(default_factory=list)
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Notify the waiting readers of the stream of a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandin:
    """Represent an engine that serves completions, load, cache events and orders."""

    def __init__(
        self, models: tuple[str, ...], profile: EngineProfile, *, checks_fencing: bool
    ) -> None:
        self.model = EngineModel(profile)
        self.models = set(models)
        self.adapters: set[str] = set()
        # Other engines can fetch KV blocks only if this address is set and reported.
        self.kv_address = ""
        self.exports: list[str] = []
        self.imports: list[str] = []
        self.faults = EngineFaults()
        self.checks_fencing = checks_fencing
        self.order: dict[str, Any] = {"sequence": 0, "fencing": 0}
        self.executions: list[str] = []
        self._streams: dict[str, Stream] = {}
        self._recorded_cache_events: list[dict[str, Any]] = []
        self._reported_load = self._compute_load()
        self._load_updated_s = 0.0
        self._work_added = asyncio.Event()
        self.app = Klein()
        self._add_routes()

    async def run(self) -> None:
        """Run batch steps until cancelled."""
        while True:
            step = self.model.run_step()
            if step is None:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            await asyncio.sleep(step.duration_s)
            for job in step.produced:
                stream = self._streams[job]
                stream.tokens.append(
                    OUTPUT_WORDS[len(stream.tokens) % len(OUTPUT_WORDS)] + " "
                )
                stream.finished = job in step.finished
                stream.notify()
            self._record_cache_changes()

    def _add_routes(self) -> None:
        self.app.route("/v1/completions", methods=["POST"])(self._complete)
        self.app.route("/v1/resume", methods=["POST"])(self._resume)
        self.app.route("/v1/cancel", methods=["POST"])(self._cancel)
        self.app.route("/kv/export", methods=["POST"])(self._export)
        self.app.route("/kv/import", methods=["POST"])(self._import)
        self.app.route("/load", methods=["GET"])(self._load)
        self.app.route("/cache-events", methods=["GET"])(self._cache_events)
        self.app.route("/order", methods=["GET", "PUT"])(self._order)

    def _complete(self, request: Request) -> "Deferred[None]":
        body = read_json(request)
        job = str(body["request"])
        prompt = str(body["prompt"])
        self.executions.append(job)
        self._streams[job] = Stream()
        self.model.submit(
            EngineJob(
                job=job,
                prompt_tokens=count_tokens(prompt),
                output_tokens=max(1, int(body.get("max_tokens", 16))),
                priority=int(body.get("priority", 0)),
                prefix_blocks=digest_prefix(prompt, self.model.profile.block_tokens),
            )
        )
        self._work_added.set()
        return self._start_stream(request, job, 0)

    def _resume(self, request: Request) -> "Deferred[None] | bytes":
        body = read_json(request)
        job = str(body["request"])
        if job not in self._streams:
            return reply_json(request, 404, {"error": "no such request"})
        return self._start_stream(request, job, int(body["next_token"]))

    def _start_stream(
        self, request: Request, job: str, first_token: int
    ) -> "Deferred[None]":
        request.setHeader(b"content-type", b"text/event-stream")
        return run_as_deferred(self._send_tokens(request, job, first_token))

    async def _send_tokens(self, request: Request, job: str, first_token: int) -> None:
        stream = self._streams[job]
        disconnected = asyncio.Event()
        request.notifyFinish().addBoth(lambda _: disconnected.set())
        position = first_token
        while not disconnected.is_set():
            while position < len(stream.tokens) and not disconnected.is_set():
                request.write(_format_event({"text": stream.tokens[position]}))
                position += 1
                if position == self.faults.break_streams_after:
                    self.faults.break_streams_after = None  # breaks only one stream
                    break_connection(request)
                    return
            if stream.cancelled:
                break
            if stream.finished and position >= len(stream.tokens):
                request.write(_format_event({"done": True, "output_tokens": position}))
                break
            await stream.changed.wait()

    def _cancel(self, request: Request) -> bytes:
        job = str(read_json(request)["request"])
        found = self.model.cancel(job)
        stream = self._streams.get(job)
        if stream is not None and (not stream.finished or self.faults.hold_export):
            stream.cancelled = True
            stream.notify()
        return reply_json(request, 200, {"cancelled": found})

    def _export(self, request: Request) -> "Deferred[bytes | None] | bytes":
        body = read_json(request)
        if self.faults.fail_export:
            return reply_json(request, 500, {"error": "export failed"})
        return run_as_deferred(self._run_export(request, body))

    async def _run_export(self, request: Request, body: dict[str, Any]) -> bytes:
        job = str(body["request"])
        prompt = str(body["prompt"])
        self.exports.append(job)
        stream = self._streams[job] = Stream()
        blocks = digest_prefix(prompt, self.model.profile.block_tokens)
        self.model.submit(
            EngineJob(
                job=job,
                prompt_tokens=count_tokens(prompt),
                output_tokens=1,
                priority=int(body.get("priority", 0)),
                prefix_blocks=blocks,
            )
        )
        self._work_added.set()
        while not stream.cancelled and (self.faults.hold_export or not stream.finished):
            await stream.changed.wait()
        if stream.cancelled:
            return reply_json(request, 409, {"error": "cancelled"})
        value = {"blocks": [block.hex() for block in blocks]}
        return reply_json(request, 200, value)

    def _import(self, request: Request) -> "Deferred[bytes | None] | bytes":
        if self.faults.fail_import:
            return reply_json(request, 500, {"error": "import failed"})
        return run_as_deferred(self._run_import(request, read_json(request)))

    async def _run_import(self, request: Request, body: dict[str, Any]) -> bytes:
        blocks = tuple(PrefixBlock(bytes.fromhex(block)) for block in body["blocks"])
        tokens = len(blocks) * self.model.profile.block_tokens
        await asyncio.sleep(tokens * KV_BYTES_PER_TOKEN / KV_BYTES_PER_S)
        self.imports.append(str(body["source"]))
        self.model.cache.store(blocks)
        self._record_cache_changes()
        return reply_json(request, 200, {"imported": len(blocks)})

    def _load(self, request: Request) -> bytes:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._load_updated_s >= LOAD_REFRESH_INTERVAL_S:
            self._load_updated_s = now_s
            self._reported_load = self._compute_load()
        return reply_json(request, 200, self._reported_load)

    def _compute_load(self) -> dict[str, Any]:
        model = self.model
        kv = {"address": self.kv_address, "bytes_per_token": KV_BYTES_PER_TOKEN}
        return {
            **({"kv": kv} if self.kv_address else {}),
            "running": len(model.running),
            "queued": len(model.waiting),
            "queued_prefill_tokens": sum(
                job.remaining_prefill_tokens for job in (*model.waiting, *model.running)
            ),
            "running_decode_tokens": sum(
                job.output_tokens - job.produced for job in model.running
            ),
            "blocks_used": model.count_used_blocks(),
            "blocks_total": model.profile.blocks_total,
            "block_tokens": model.profile.block_tokens,
            "max_streams": model.max_streams,
            "prefill_tokens_per_s": model.profile.prefill_tokens_per_s,
            "decode_tokens_per_s": 1 / model.profile.step_base_s,
            "role": model.role.value,
            "models": sorted(self.models),
            "adapters": sorted(self.adapters),
        }

    def _record_cache_changes(self) -> None:
        cache = self.model.cache
        if not cache.stored and not cache.evicted:
            return
        event = {
            "sequence": len(self._recorded_cache_events) + 1,
            "stored": [block.hex() for block in cache.stored],
            "evicted": [block.hex() for block in cache.evicted],
            "lost": self.faults.cache_event_gap,
        }
        self._recorded_cache_events.append(event)
        cache.stored.clear()
        cache.evicted.clear()

    def _cache_events(self, request: Request) -> bytes:
        since = int(request.args.get(b"since", [b"0"])[0])
        delivered = [
            event for event in self._recorded_cache_events[since:] if not event["lost"]
        ]
        return reply_json(request, 200, {"events": delivered})

    def _order(self, request: Request) -> "Deferred[bytes | None] | bytes":
        if request.method == b"GET":
            state = {**self.order, "role": self.model.role.value}
            return reply_json(request, 200, {**state, "models": sorted(self.models)})
        order = read_json(request)
        if self.checks_fencing and order["fencing"] < self.order["fencing"]:
            return reply_json(
                request, 409, {"error": "old fencing number", **self.order}
            )
        return run_as_deferred(self._apply_order(request, order))

    async def _apply_order(self, request: Request, order: dict[str, Any]) -> bytes:
        self.order = {"sequence": order["sequence"], "fencing": order["fencing"]}
        if self.faults.crash_in_order:
            self.model.cache.clear()
            break_connection(request)
            return b""
        role = order.get("role")
        if role in ROLES_BY_NAME and ROLES_BY_NAME[role] is not self.model.role:
            await asyncio.sleep(self.model.begin_role_change(ROLES_BY_NAME[role]))
            self.model.end_role_change()
            self._work_added.set()
        self.models |= set(order.get("load", ()))
        self.models -= set(order.get("unload", ()))
        return reply_json(request, 200, {**self.order, "role": self.model.role.value})


def _format_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
