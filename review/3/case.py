"""A store that resets the channels of a gateway for 9 s is never followed again."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    BOUNDS,
    Door,
    Gateway,
    Record,
    Store,
    Worker,
    call_once,
    make_config,
    make_plain,
    make_route,
    run_case,
)

# SYSTEM.md, Hard Hat Expiry Log: 4 front machines; 3 application workers with 6 slots
# and 96 channels each; 10.2 orders and 4.07 look-ups a second.
GATEWAYS = 4
WORKERS = 3
MAX_CONNS = 96
WORK_S = 0.09
ORDERS_PER_S = 10.2
LOOKUPS_PER_S = 4.07
# `for_s` of `platform_down` with `nodes reset` in the site file; a share of 0.35 of 4
# machines is one.
OUTAGE_S = 9.0
OUTAGES = 7
BETWEEN_S = 1.0
# Longer than `stable_window_ms`, so that the machine is in touch again.
CALM_S = 6.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
# "It continues serving for drain_ms after the store has accepted that report and a
# little longer (at times many seconds)".
SERVES_ON_S = 6.0
# The last work of the worker that leaves ends before it does.
AFTER_S = 3.0


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Start the stand-ins and gateways, and play the case."""
    store = Store(record)
    await store.start()
    workers = [
        Worker(f"w{n}", "app", store, make_plain(WORK_S)) for n in range(WORKERS)
    ]
    for worker in workers:
        worker.max_channels = MAX_CONNS
        await worker.start()
        worker.register()
    routes = [
        make_route("order", "non_idempotent", "app"),
        make_route("lookup", "idempotent", "app"),
    ]
    services = [{"name": "app", "health_path": "/h", "max_conns": MAX_CONNS}]
    store.put("config", "main", make_config(1, routes, services))
    doors = [store.open_door() for _ in range(GATEWAYS)]
    gateways = [
        Gateway(f"g{n}", doors[n].port, folder, record) for n in range(GATEWAYS)
    ]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(2)
        return await play(
            record, store, workers, gateways, doors[0] if trouble else None
        )
    finally:
        for gateway in gateways:
            await gateway.kill()


async def play(
    record: Record,
    store: Store,
    workers: list[Worker],
    gateways: list[Gateway],
    door: Door | None,
) -> bool:
    """Play the case and return whether the rule held."""
    sent_s: dict[str, float] = {}
    taken_by: dict[str, str] = {}
    answers: Counter[tuple[str, int]] = Counter()
    calls: set[asyncio.Task[None]] = set()
    number = 0

    async def send(gateway: Gateway, method: str, path: str) -> None:
        nonlocal number
        number += 1
        request = f"r{number}"
        sent_s[request], taken_by[request] = record.now(), gateway.name
        record.write("sent", gateway=gateway.name, request=request, path=path)
        answer = await call_once(
            gateway.port, method, path, Request_Id=request, Deadline_Ms="1500"
        )
        answers[gateway.name, answer.status] += 1
        record.write(
            "answer", gateway=gateway.name, request=request, status=answer.status
        )

    async def send_regularly(method: str, path: str, per_s: float) -> None:
        while True:
            for gateway in gateways:
                call = asyncio.ensure_future(send(gateway, method, path))
                calls.add(call)
                call.add_done_callback(calls.discard)
                await asyncio.sleep(1 / per_s)

    clients = [
        asyncio.ensure_future(send_regularly("POST", "/order/x", ORDERS_PER_S)),
        asyncio.ensure_future(send_regularly("GET", "/lookup/x", LOOKUPS_PER_S)),
    ]
    await asyncio.sleep(5)
    served = 0
    for _ in range(OUTAGES if door else 0):
        assert door is not None
        record.write("the store turns away", gateway=gateways[0].name)
        door.turn_away()
        await asyncio.sleep(OUTAGE_S)
        door.allow()
        record.write("the store serves all again", resets=door.reset_count)
        served = door.served_count
        await asyncio.sleep(BETWEEN_S)
    if not door:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(CALM_S)
    leaving = workers[0]
    leaving.state = "draining"
    leaving.register()
    acked_s = record.now()
    record.write("the store acknowledges draining", worker=leaving.name)
    await asyncio.sleep(SERVES_ON_S)
    cut = [run.request for run in leaving.runs if not run.ended]
    await leaving.stop()
    store.delete("servers", leaving.name)
    record.write("the worker has left", cut=",".join(cut) or "none")
    await asyncio.sleep(AFTER_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    late = [
        run
        for run in leaving.runs
        if run.at_s > acked_s + DRAIN_S and sent_s[run.request] > acked_s + DRAIN_S
    ]
    for run in late:
        record.write(
            "late at the leaving worker",
            request=run.request,
            gateway=taken_by[run.request],
            after_s=f"{run.at_s - acked_s:.3f}",
        )
    if door:
        answer = await call_once(gateways[0].ready_port, "GET", "/-/ready")
        record.write("readiness", gateway=gateways[0].name, status=answer.status)
        record.write(
            "channels that the store has accepted from the gateway since",
            count=door.served_count - served,
        )
    for (name, status), count in sorted(answers.items()):
        record.write("total", gateway=name, status=status, count=count)
    assert len(answers) >= len(gateways)
    return not late


run_case(Path(__file__).resolve().parent, case)
