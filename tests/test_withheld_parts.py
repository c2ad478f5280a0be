"""Guard that what gateways know of crashing prompts outlasts them and can end."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import cbor2
import pytest

from bramleyport.core import ProcessId, UpstreamId
from bramleyport.fleet import (
    CrashId,
    CrashReport,
    HarmlessTrait,
    TraitId,
    Verdict,
    _trials,
)
from bramleyport.gateway._peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
)
from tests.prompt_traffic import PromptTraffic, SentPrompt, send_until

Run = Callable[[Coroutine[Any, Any, Any]], Any]

DEADLY = "dead"
ENGINES = ["d0", "d1", "d2", "d3"]
STABLE_MS = 500


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
            lambda: (
                not any(
                    gateway.state.crash_evidence.verdicts
                    for gateway in traffic.group.gateways.values()
                )
            )
        )
        await traffic.group.wait_for(lambda: not list_stored(traffic))
        assert (await traffic.send_deadly(DEADLY, "/stream/x")).is_served
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
        (10, [["e", 1, 0.0, ["p"] * 33, [], True]]),
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
