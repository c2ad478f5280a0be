"""Streams go on at another software version after all gateways were killed."""

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    ENGINE,
    Engine,
    Gateway,
    Record,
    Store,
    call_once,
    make_config,
    make_route,
    make_stream,
    run_case,
)

# SYSTEM.md, Hard Hat Expiry Log: 4 front machines, 9 language workers; the kind
# `quick-cert-query`: 20.5 a second, 14 tokens out, pauses up to 200 ms, 5 s of time.
GATEWAYS = 4
PREFILLERS = 3
OLD_DECODERS = 4
# `srv_crash` in the site file: share = 0.25 of 9 workers are two, for_s = 2.0.
NEW_DECODERS = 2
CRASH_S = 2.0
# Time from the crash to the kill of all processes.
KILL_AFTER_S = 1.5
# `down_s` of `kill_all` in the site file.
DOWN_S = 0.65
PER_S = 20.5
EVENTS = 14
GAP_S = 0.15
DEADLINE_S = 5.0
# "Clients retry a few times within their time budget, each time on a new channel". A
# channel that can't be opened, as the process is down, is tried again soon.
TRIES = 4
RETRY_S = 0.3
# The rule allows two such streams.
MAX_MIXED = 2


@dataclass
class Stream:
    """One stream over all tries of its client."""

    request: str
    events: list[tuple[int, str]] = field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        """Return the software versions that wrote its events."""
        return {data.split(" ")[1] for _, data in self.events}


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Start the stand-ins and gateways, and play the case."""
    store = Store(record)
    await store.start()
    engines = []
    for number in range(PREFILLERS + OLD_DECODERS + NEW_DECODERS):
        stage = "prefill" if number < PREFILLERS else "decode"
        engines.append(await start_engine(f"e{number}", store, stage))
    new = engines[-NEW_DECODERS:]
    for engine in new:
        engine.version = "1.1"
    for engine in engines:
        engine.register()
    route = make_route(
        "query",
        "streaming",
        "llm",
        timeout_ms=5000,
        slo_ms=2000,
        gap_slo_ms=200,
        priority=2,
        sticky=True,
        resumable=True,
    )
    service = {"name": "llm", "health_path": "/h", "max_conns": 360, "engine": ENGINE}
    store.put("config", "main", make_config(1, [route], [service]))
    gateways = [Gateway(f"g{n}", store.port, folder, record) for n in range(GATEWAYS)]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(6)
        return await play(record, store, new, gateways, trouble)
    finally:
        for gateway in gateways:
            await gateway.kill()


async def start_engine(name: str, store: Store, stage: str) -> Engine:
    """Start a model worker."""
    engine = Engine(name, "llm", store, make_stream(EVENTS, GAP_S), stage)
    await engine.start()
    return engine


async def play(
    record: Record,
    store: Store,
    new: list[Engine],
    gateways: list[Gateway],
    trouble: bool,
) -> bool:
    """Play the case and return whether the rule held."""
    streams: list[Stream] = []
    calls: set[asyncio.Task[None]] = set()

    async def send_regularly() -> None:
        while True:
            stream = Stream(f"s{len(streams)}")
            streams.append(stream)
            call = asyncio.ensure_future(follow(record, gateways, stream, len(streams)))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(1 / PER_S)

    client = asyncio.ensure_future(send_regularly())
    await asyncio.sleep(4)
    if trouble:
        for engine in new:
            record.write("crash", worker=engine.name, version=engine.version)
            await engine.stop()
        await asyncio.sleep(KILL_AFTER_S)
        for gateway in gateways:
            gateway.send_signal(signal.SIGKILL)
        back = asyncio.ensure_future(bring_back(record, store, len(new)))
        await asyncio.sleep(DOWN_S)
        for gateway in gateways:
            await gateway.wait_ended()
            await gateway.start()
        await back
        # "removed ... after three status report intervals of silence"
        await asyncio.sleep(3.6 - CRASH_S)
        for engine in new:
            store.delete("servers", engine.name)
    await asyncio.sleep(8)
    client.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    for stream in mixed:
        record.write(
            "events of two versions", stream=stream.request, events=stream.events
        )
    complete = sum(len(stream.events) == EVENTS for stream in streams)
    record.write("total", streams=len(streams), complete=complete, mixed=len(mixed))
    assert complete >= len(streams) / 4
    return len(mixed) <= MAX_MIXED


async def bring_back(record: Record, store: Store, count: int) -> None:
    """Start workers of the new version again, under new ids."""
    await asyncio.sleep(CRASH_S - KILL_AFTER_S)
    for number in range(count):
        engine = await start_engine(f"e2{number}", store, "decode")
        engine.version = "1.1"
        engine.register()
        record.write("back", worker=engine.name, version=engine.version)


async def follow(
    record: Record, gateways: list[Gateway], stream: Stream, number: int
) -> None:
    """Send a request, and take its stream up again where it has broken off."""
    began_s = record.now()
    first = ""
    attempt = opened = 0
    while opened < TRIES:
        attempt += 1
        left_s = began_s + DEADLINE_S - record.now()
        if left_s <= 0:
            return
        request = f"{stream.request}.{attempt}"
        headers = {
            "Request_Id": request,
            "Deadline_Ms": str(int(left_s * 1000)),
            "Model": "m",
            "Token_Counts": "1460,14",
            "Prompt_Prefix": ",".join(
                (
                    f"a{number % 8:x}:210",
                    f"b{number % 99:x}:140",
                    f"c{number:x}:1110",
                )
            ),
        }
        if stream.events:
            headers["Last_Event_Id"] = str(stream.events[-1][0])
            headers["Resumes"] = first
        gateway = gateways[(number + attempt) % len(gateways)]
        answer = await call_once(gateway.port, "POST", "/query/x", b"p", **headers)
        opened += answer.status > 0
        found = answer.list_events() if answer.status == 200 else []
        if found and not first:
            first = request
        stream.events += found
        record.write(
            "answer",
            gateway=gateway.name,
            request=request,
            status=answer.status,
            complete=answer.complete,
            resumes=headers.get("Resumes", "none"),
            events=len(found),
            workers=",".join(sorted({data for _, data in found})),
        )
        if answer.status == 200 and answer.complete:
            return
        wait_s = float(answer.headers.get("retry-after", RETRY_S))
        await asyncio.sleep(min(wait_s, left_s / 3))


run_case(Path(__file__).resolve().parent, case)
