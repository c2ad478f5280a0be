"""Guard that what gateways know of crashing prompts outlasts them and can end."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import cbor2
import pytest

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    MAX_TRAITS,
    CrashId,
    CrashReport,
    HarmlessTrait,
    TraitId,
    Verdict,
    _trials,
    is_request,
)
from bramleyport.gateway import _stream_attempt, _verdict_store
from bramleyport.gateway._peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
)
from tests.platform_standin import CrashingEngine
from tests.prompt_traffic import PromptTraffic, SentPrompt, send_until

Run = Callable[[Coroutine[Any, Any, Any]], Any]

DEADLY = "dead"
ENGINES = ["d0", "d1", "d2", "d3"]
STABLE_MS = 500
# Enough for one trial of each of four requests.
RELEASE_LIMIT_S = 60.0
# More than it takes until a part is withheld.
HELD_CALL_MS = 20_000


async def start_withholding(folder: Path, gateways: int = 3) -> PromptTraffic:
    """Return traffic whose gateways all withhold a part, and have stored that."""
    traffic = PromptTraffic(folder, gateways, ENGINES, STABLE_MS)
    await traffic.group.start()
    traffic.set_deadly_parts(DEADLY)
    await send_until(
        lambda: is_withheld_everywhere(traffic) and bool(list_stored(traffic)),
        lambda: traffic.send_deadly(DEADLY, "/stream/x"),
        lambda: traffic.send_sound("/stream/x"),
    )
    return traffic


def is_withheld_everywhere(traffic: PromptTraffic) -> bool:
    return all(
        any(item.trait == DEADLY for item in gateway.state.crash_evidence.verdicts)
        for gateway in traffic.group.gateways.values()
    )


def find_withheld(traffic: PromptTraffic) -> set[TraitId]:
    """Return the traits that any gateway withholds."""
    return {
        verdict.trait
        for gateway in traffic.group.gateways.values()
        for verdict in gateway.state.crash_evidence.verdicts
    }


def is_request_withheld_everywhere(traffic: PromptTraffic) -> bool:
    return all(
        any(is_request(item.trait) for item in gateway.state.crash_evidence.verdicts)
        for gateway in traffic.group.gateways.values()
    )


def list_stored(traffic: PromptTraffic) -> list[str]:
    return [
        item["spec"]["part"]
        for (kind, _), item in traffic.group.store.objects.items()
        if kind == "verdicts"
    ]


def list_arrivals(traffic: PromptTraffic, prompt: SentPrompt) -> list[str]:
    return [
        engine.name
        for engine in traffic.engines
        for arrival in engine.arrivals
        if arrival.request.headers.get("request-id") == prompt.request
    ]


def test_part_stays_withheld_when_all_gateways_restart(
    run: Run, tmp_path: Path
) -> None:
    """Guards against engines that crash again after each restart of the gateways."""

    async def check() -> None:
        traffic = await start_withholding(tmp_path)
        for name in list(traffic.group.gateways):
            traffic.group.stop_gateway(name)
        await traffic.wait_up()
        await traffic.group.start_gateway("next")
        await traffic.group.wait_for(lambda: is_withheld_everywhere(traffic))
        prompt = await traffic.send_deadly(DEADLY, "/stream/x", gateway="next")
        assert prompt.answer is not None
        assert prompt.answer.status == 503
        assert float(prompt.answer.headers["retry-after"]) > 0
        assert list_arrivals(traffic, prompt) == []
        await traffic.group.stop()

    run(check())


def test_one_gateway_tries_a_withheld_part_and_all_release_it(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part that stays withheld for ever, or is tried by all."""

    async def check() -> None:
        traffic = await start_withholding(tmp_path)
        traffic.set_deadly_parts()
        await traffic.wait_recovered()
        # The other parts of the calls that crashed engines are suspect until answered.
        for _ in range(8):
            assert (await traffic.send_sound("/stream/x")).is_served
        count = len(traffic.sent)
        monkeypatch.setattr(_trials, "FIRST_TRIAL_S", 0.0)
        await send_until(
            lambda: any(item.is_served for item in traffic.sent[count:]),
            lambda: traffic.send_deadly(DEADLY, "/stream/x"),
        )
        await traffic.group.wait_for(
            lambda: all(map(is_request, find_withheld(traffic)))
        )
        # A request that crashed two engines itself is released by its own trial.
        async with asyncio.timeout(RELEASE_LIMIT_S):
            await send_until(
                lambda: not find_withheld(traffic),
                lambda: traffic.send_deadly(DEADLY, "/stream/x"),
            )
        await traffic.group.wait_for(lambda: not list_stored(traffic))
        assert (await traffic.send_deadly(DEADLY, "/stream/x")).is_served
        await traffic.group.stop()

    run(check())


async def withhold_part_and_request(folder: Path) -> PromptTraffic:
    """Return traffic that withholds a part, and one request that ran meanwhile."""
    traffic = PromptTraffic(folder, 3, ENGINES, STABLE_MS)
    await traffic.group.start()
    traffic.set_deadly_parts(DEADLY)
    traffic.set_deadline(HELD_CALL_MS)
    gate = asyncio.Event()
    for engine in traffic.engines:
        engine.crash_gate = gate
    held = asyncio.ensure_future(send_own(traffic))
    await traffic.group.wait_for(lambda: find_holding(traffic))
    (holding,) = find_holding(traffic)
    # Others run elsewhere.
    holding.register(traffic.group.store, state="draining")
    await traffic.group.wait_for(lambda: is_draining_everywhere(traffic))
    for engine in traffic.engines:
        if engine is not holding:
            engine.crash_gate = None
    await send_until(lambda: bool(traffic.crashes), lambda: send_own(traffic))
    await send_until(
        lambda: is_withheld_everywhere(traffic) and bool(list_stored(traffic)),
        lambda: send_other(traffic),
    )
    assert not is_request_withheld_everywhere(traffic)
    gate.set()
    await held
    holding.crash_gate = None
    await traffic.group.wait_for(lambda: is_request_withheld_everywhere(traffic))
    return traffic


def is_draining_everywhere(traffic: PromptTraffic) -> bool:
    return all(
        any(item.draining for item in gateway.state.members.list_all())
        for gateway in traffic.group.gateways.values()
    )


def find_holding(traffic: PromptTraffic) -> list[CrashingEngine]:
    """Return the engines at which a deadly call has begun and waits."""
    return [engine for engine in traffic.engines if engine.running]


async def send_own(traffic: PromptTraffic) -> SentPrompt:
    """Send the request on which an engine crashes after the verdict on its part."""
    return await traffic.send_deadly(DEADLY, "/stream/x", shared="own")


async def send_other(traffic: PromptTraffic) -> SentPrompt:
    """Send another request with the same part."""
    return await traffic.send_deadly(DEADLY, "/stream/x", shared="other")


# Guards against a request that stays refused for ever, since the part that it shares
# with others was withheld first, and against one that is trusted for their answers.
@pytest.mark.parametrize("send_trial", [send_own, send_other])
def test_request_withheld_beside_its_part_is_released_by_its_own_answer(
    run: Run,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    send_trial: Callable[[PromptTraffic], Coroutine[Any, Any, SentPrompt]],
) -> None:
    async def check() -> None:
        monkeypatch.setattr(_trials, "FIRST_REQUEST_TRIAL_S", _trials.LONG_PAUSE_S)
        monkeypatch.setattr(_verdict_store, "TRIAL_SPACING_S", 0.0)
        monkeypatch.setattr(_stream_attempt, "FIRST_EVENT_SLACK_S", HELD_CALL_MS)
        traffic = await withhold_part_and_request(tmp_path)
        traffic.set_deadly_parts()
        await traffic.wait_recovered()
        monkeypatch.setattr(_trials, "FIRST_TRIAL_S", 0.0)
        count = len(traffic.sent)
        await send_until(
            lambda: any(item.is_served for item in traffic.sent[count:]),
            lambda: send_trial(traffic),
        )
        await traffic.group.wait_for(lambda: DEADLY not in find_withheld(traffic))
        if send_trial is send_other:
            assert is_request_withheld_everywhere(traffic)
            answer = (await send_own(traffic)).answer
            assert answer is not None
            assert answer.status == 503
            monkeypatch.setattr(_trials, "FIRST_REQUEST_TRIAL_S", 0.0)
            assert (await send_own(traffic)).is_served
        await traffic.group.wait_for(lambda: not find_withheld(traffic))
        await traffic.group.wait_for(lambda: not list_stored(traffic))
        await traffic.group.stop()

    run(check())


def test_trial_that_crashes_its_engine_delays_the_next_one(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against trials that crash engine after engine."""

    async def check() -> None:
        traffic = await start_withholding(tmp_path)
        await traffic.wait_recovered()
        crashes = len(traffic.crashes)
        for gateway in traffic.group.gateways.values():
            stored = gateway._verdicts._stored[TraitId(DEADLY)]
            stored.changed_s -= _trials.FIRST_TRIAL_S
        await send_until(
            lambda: len(traffic.crashes) > crashes,
            lambda: traffic.send_deadly(DEADLY, "/stream/x"),
        )
        count = len(traffic.sent)
        await send_until(
            lambda: len(traffic.sent) >= count + 20,
            lambda: traffic.send_deadly(DEADLY, "/stream/x"),
        )
        assert len(traffic.crashes) == crashes + 1
        await traffic.group.stop()

    run(check())


def test_reports_and_verdicts_survive_encoding_and_decoding() -> None:
    """Guards against gateways that can't read each other's reports of crashes."""
    part = TraitId("aa")
    message = PeerMessage(
        process=ProcessId("g"),
        incarnation=1,
        reports=(
            CrashReport(
                crash=CrashId(UpstreamId("e"), 7),
                at_s=0.0,
                traits=frozenset((part, TraitId("bb"))),
                unproven=frozenset((part,)),
                answer_began=True,
            ),
        ),
        verdicts=(Verdict(trait=part, companions=frozenset((part,)), crashes=2),),
    )
    assert decode_datagram(encode_message(message), 0.0) == message


def test_notice_of_a_harmless_part_carries_its_age() -> None:
    """Guards against clocks of gateways that differ."""
    notice = HarmlessTrait(TraitId("aa"), 0.0)
    message = PeerMessage(process=ProcessId("g"), incarnation=1, harmless=(notice,))
    found = decode_datagram(encode_message(message), 0.0)
    assert isinstance(found, PeerMessage)
    assert found.harmless[0].answered_s < 0


@pytest.mark.parametrize(
    "spec",
    [
        {},
        {"part": 3, "companions": [], "crashes": 2},
        {"part": "dead", "companions": "x", "crashes": 2},
        {"part": "dead", "companions": [1], "crashes": 2},
        {"part": "dead", "companions": ["dead"], "crashes": "many"},
    ],
)
def test_malformed_verdict_in_the_store_withholds_nothing(
    run: Run, tmp_path: Path, spec: dict[str, Any]
) -> None:
    """Guards against an object of another writer that stops a gateway or its calls."""

    async def check() -> None:
        traffic = PromptTraffic(tmp_path, 1, ENGINES[:1], STABLE_MS)
        traffic.group.store.put("verdicts", "x", spec)
        await traffic.group.start()
        assert (await traffic.send_sound("/stream/x")).is_served
        await traffic.group.stop()

    run(check())


@pytest.mark.parametrize(
    ("position", "value"),
    [
        (10, [["e", 1, 0.0, ["p"] * (MAX_TRAITS + 1), [], True]]),
        (10, [["e", 1, 0.0, ["p" * 65], [], True]]),
        (10, [["e", 1, -1.0, ["p"], [], True]]),
        (12, [["p", ["p"], 10**400]]),
        (12, [["p", ["p"], -1]]),
    ],
)
def test_report_or_verdict_beyond_its_bounds_is_refused(
    position: int, value: list[Any]
) -> None:
    """Guards against memory and errors that one message of a peer would cost."""
    message = PeerMessage(process=ProcessId("g"), incarnation=1)
    fields = cbor2.loads(encode_message(message))
    fields[position] = value
    found = decode_datagram(cbor2.dumps(fields), 0.0)
    assert found == message
    assert isinstance(found, PeerMessage)
    assert len(found.invalid) == 1
