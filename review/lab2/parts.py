"""Play prompts of which one part crashes each worker that begins to answer them."""

import asyncio
import random

from lab import (
    ENGINE, Channel, Worker, chunk, config, event, main, now, route, start_stream,
)

DEADLY = "dead0bad"
EVENTS = 8
DOWN_S = 3.0
SOUND_INTERVAL_S = 0.1
DEADLY_INTERVAL_S = 1.0
# RULES.md, PAGES-NEWS.md: the fifth crash, stable_window_ms, more than three.
CRASHES, STABLE_S, MOST = 5, 3.0, 3


class Engine(Worker):
    """A model worker that crashes on one part of a prompt from some moment on."""

    async def run(self, request, reader, writer):
        name = request.get("request-id")
        parts = [item.partition(":")[0] for item in request.get("prompt-prefix").split(",")]
        has_part = DEADLY in parts[:-1]
        self.lab.record.add("arrival", worker=self.id, request=name, has_part=has_part)
        first = int(request.get("last-event-id", "0")) + 1
        await asyncio.sleep(0.03)
        deadly = has_part and self.lab.trouble and now() >= self.lab.deadly_s
        before = self.lab.plan["before"] if deadly else None
        if before is not None and before < 0:
            # It has begun to write, and nothing of that has left it.
            self.end_by(name)
            return
        start_stream(writer, self.stamp(request))
        for number in range(first, EVENTS + 1):
            if before is not None and number - first == before:
                await writer.drain()
                await asyncio.sleep(0.02)
                self.end_by(name)
                return
            chunk(writer, event(number))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    def end_by(self, name):
        self.lab.record.add("crash", worker=self.id, request=name)
        self.crash()
        self.lab.later(self.come_back(DOWN_S))


async def call(lab, number, has_part):
    name = f"{'d' if has_part else 's'}{number:06x}"
    middle = DEADLY if has_part else f"beef{number % 4:02x}"
    between = [f"f{index:03x}:20" for index in range(lab.plan["between"])]
    own = f"{name.encode().hex()}:600"
    parts = ",".join(["aa01:3000", *between, f"{middle}:400", own])
    channel = Channel(random.choice(lab.gateways))
    lab.record.add("sent", request=name, gateway=channel.gateway.name, has_part=has_part)
    answer = await channel.call(
        "POST", "/once/x",
        [("Request-Id", name), ("Deadline-Ms", "5000"), ("Model", "m"),
         ("Token-Counts", "4000,8"), ("Prompt-Prefix", parts)],
        b"prompt " + name.encode(), 6.0,
    )
    channel.close()
    lab.record.add(
        "answer", request=name, has_part=has_part, status=answer.status,
        events=len(answer.events), whole=answer.whole, error=answer.error,
    )


async def play(lab, trouble):
    workers = [Engine(lab, f"i-e{n}", "llm", stage="decode", slots=64) for n in range(6)]
    routes = [route("once", "/once/", "streaming", "llm", resumable=False, sticky=True,
                    gap_slo_ms=200, max_attempts=1)]
    services = [{"name": "llm", "health_path": "/h", "max_conns": 360, "engine": ENGINE}]
    lab.deadly_s = float("inf")
    await lab.start(config(routes, services), workers)
    await asyncio.sleep(4)
    calls, number = [], 0
    began_s = now()
    lab.deadly_s = began_s + lab.plan["sound_s"]
    last_s = began_s
    while now() - began_s < lab.plan["sound_s"] + 40:
        number += 1
        calls.append(lab.later(call(lab, number, False)))
        if now() - last_s >= DEADLY_INTERVAL_S:
            last_s = now()
            number += 1
            calls.append(lab.later(call(lab, number, True)))
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*calls)


def check(lab):
    crashes = lab.record.find("crash")
    sound = [row for row in lab.record.find("answer") if not row["has_part"]]
    whole = sum(row["whole"] and row["status"] == 200 for row in sound)
    print(f"{len(crashes)} crashes; sound requests: {whole} of {len(sound)} answered whole")
    if not lab.trouble and whole < 0.98 * len(sound):
        raise RuntimeError("sound requests fail without the disruption")
    if len(crashes) < CRASHES:
        return False
    since = crashes[CRASHES - 1]["t"] + STABLE_S
    late = [row for row in lab.record.find("arrival") if row["has_part"] and row["t"] > since]
    lab.record.add("late arrivals", count=len(late), permitted=MOST)
    print(f"{len(late)} requests with the part reached workers later than {STABLE_S:.0f} s "
          f"after the fifth crash; {MOST} are permitted")
    return len(late) > MOST


def run(*, before, between=0, sound_s=0.0):
    """`before`: whole events before the crash, -1 for none and no head either.

    `between`: further parts in front of the deadly one. `sound_s`: how long the part is
    answered well before it is deadly.
    """

    def begin(lab, trouble):
        lab.plan = {"before": before, "between": between, "sound_s": sound_s}
        return play(lab, trouble)

    main(begin, check)
