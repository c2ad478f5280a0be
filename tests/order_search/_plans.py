"""Define what upstreams may do with a request, each with the weight of its choice."""

import json
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Final

from tests.order_search._profiles import Weights
from tests.platform_standin import render_event, render_response

if TYPE_CHECKING:
    from tests.order_search._upstreams import UpstreamExchange

Plan = Callable[["UpstreamExchange"], None]

# Longer than any gateway waits for an answer to its own request.
LATE_S: Final = 1.2
LATE_RUNS_S: Final = (0.05, 0.4, 1.0, 2.5, 4.0)
EVENTS: Final = 3
# When the process of an upstream was started.
BORN_MS: Final = 1000


class Plans:
    """Represent the plans for one kind of request by their names."""

    def __init__(self) -> None:
        self._plans: dict[str, Plan] = {}
        self._weights: dict[str, int] = {}

    def register(self, name: str, weight: int) -> Callable[[Plan], Plan]:
        """Return a decorator that adds a plan."""

        def add(plan: Plan) -> Plan:
            self._plans[name] = plan
            self._weights[name] = weight
            return plan

        return add

    def choose(self, random: Random, weights: Weights) -> str:
        """Return the name of a plan, chosen by weight; some weights are replaced."""
        chosen = self._weights | weights
        (name,) = random.choices(list(chosen), list(chosen.values()))
        return name

    def start(self, name: str, exchange: "UpstreamExchange") -> None:
        """Begin to serve a request by a plan."""
        self._plans[name](exchange)


CALLS: Final = Plans()
PREFILLS: Final = Plans()
OWN_REQUESTS: Final = Plans()


def choose_delay(exchange: "UpstreamExchange") -> float:
    """Return a delay, often one that ends at the deadline of the call."""
    profile = exchange.profile
    if exchange.random.random() < profile.deadline_fraction:
        return max(0.0, exchange.remaining_s)
    return exchange.random.choice(profile.delays_s)


def render_answer(exchange: "UpstreamExchange", status: int) -> bytes:
    """Return the answer to a call that has run."""
    request = exchange.request.headers["request-id"]
    headers = {"Request_Id": request, "Server_Stamp": exchange.upstream.name}
    if status == 200 and exchange.is_stream:
        headers |= {"Content_Type": "text/event-stream"}
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        events = b"".join(render_event(n) for n in range(first, EVENTS + 1))
        return render_response(status, events, **headers)
    return render_response(status, b"answer to " + request.encode(), **headers)


def render_refusal(exchange: "UpstreamExchange", status: int, *, named: bool) -> bytes:
    """Return the answer to a call that the upstream does not run."""
    headers = {"Not_Run": "1"}
    if named:
        headers["Request_Id"] = exchange.request.headers["request-id"]
    if status == 503 and exchange.random.random() < 0.2:
        headers["Retry_After"] = "0.2"
    return render_response(status, b"no", **headers)


def write_in_pieces(exchange: "UpstreamExchange", answer: bytes) -> None:
    """Write an answer at once, or the rest of it after a delay."""
    if exchange.random.random() < 0.7:
        exchange.write(answer)
        return
    cut = exchange.random.randrange(1, len(answer))
    exchange.write(answer[:cut])
    exchange.after(choose_delay(exchange), lambda: exchange.write(answer[cut:]))


@CALLS.register("run and answer", 22)
def run_and_answer(exchange: "UpstreamExchange") -> None:
    exchange.run()
    answer = render_answer(exchange, 200)
    exchange.after(choose_delay(exchange), lambda: write_in_pieces(exchange, answer))


@CALLS.register("run and answer twice", 4)
def run_and_answer_twice(exchange: "UpstreamExchange") -> None:
    exchange.run()
    answer = render_answer(exchange, 200)
    exchange.after(choose_delay(exchange), lambda: exchange.write(answer))
    exchange.after(choose_delay(exchange), lambda: exchange.connection.write(answer))


@CALLS.register("run and fail", 8)
def run_and_fail(exchange: "UpstreamExchange") -> None:
    exchange.run()
    status = exchange.random.choice((500, 502, 504, 503, 503, 429, 408))
    answer = render_answer(exchange, status)
    exchange.after(choose_delay(exchange), lambda: write_in_pieces(exchange, answer))


@CALLS.register("run and send garbage", 2)
def run_and_send_garbage(exchange: "UpstreamExchange") -> None:
    exchange.run()
    exchange.after(choose_delay(exchange), lambda: exchange.write(b"no answer\r\n\r\n"))


@CALLS.register("run and end", 8)
def run_and_end(exchange: "UpstreamExchange") -> None:
    exchange.run()
    end_connection(exchange)


@CALLS.register("run and cut the answer", 6)
def run_and_cut(exchange: "UpstreamExchange") -> None:
    exchange.run()
    status = exchange.random.choice((200, 200, 500, 503))
    answer = render_answer(exchange, status)
    cut = exchange.random.randrange(1, len(answer))

    def cut_answer() -> None:
        exchange.write(answer[:cut])
        end_connection(exchange)

    exchange.after(choose_delay(exchange), cut_answer)


@CALLS.register("run in silence", 4)
def run_in_silence(exchange: "UpstreamExchange") -> None:
    exchange.run()


@CALLS.register("run late", 8)
def run_late(exchange: "UpstreamExchange") -> None:
    """Run a call that waited, even if its connection has ended meanwhile."""
    ends = exchange.random.random() < 0.5
    answer = render_answer(exchange, 200)

    def run() -> None:
        exchange.run()
        exchange.write(answer)

    exchange.after(exchange.random.choice(LATE_RUNS_S), run)
    if ends:
        end_connection(exchange)


@CALLS.register("end without a run", 3)
def end_without_run(exchange: "UpstreamExchange") -> None:
    end_connection(exchange)


@CALLS.register("silence", 3)
def stay_silent(exchange: "UpstreamExchange") -> None:
    exchange.note("will not answer")


@CALLS.register("refuse", 24)
def refuse(exchange: "UpstreamExchange") -> None:
    named = exchange.random.random() < 0.75
    status = exchange.random.choice((503, 503, 429, 400))
    refusal = render_refusal(exchange, status, named=named)
    repeat_later(exchange, refusal)
    delay_s = choose_delay(exchange)
    exchange.after(delay_s, lambda: exchange.refuse(refusal, named=named))


@CALLS.register("refuse and cut", 3)
def refuse_and_cut(exchange: "UpstreamExchange") -> None:
    refusal = render_refusal(exchange, 503, named=True)
    cut = exchange.random.randrange(1, len(refusal))

    def cut_refusal() -> None:
        exchange.write(refusal[:cut])
        end_connection(exchange)

    exchange.after(choose_delay(exchange), cut_refusal)


@CALLS.register("another instance", 5)
def answer_as_another_instance(exchange: "UpstreamExchange") -> None:
    headers = {"Instance_Id": "another"}
    named = exchange.random.random() < 0.5
    if named:
        headers["Request_Id"] = exchange.request.headers["request-id"]
    answer = render_response(421, b"", **headers)
    exchange.after(choose_delay(exchange), lambda: exchange.refuse(answer, named=False))


def end_connection(exchange: "UpstreamExchange") -> None:
    """End a connection in some way; a reset may overtake what was written before."""
    reset = exchange.random.random() < 0.6
    drop = reset and exchange.random.random() < 0.4
    exchange.after(
        choose_delay(exchange), lambda: exchange.connection.end(reset=reset, drop=drop)
    )


def repeat_later(exchange: "UpstreamExchange", refusal: bytes) -> None:
    """Send a refusal again around the next answer on the connection, or at any time."""
    connection = exchange.connection
    if exchange.random.random() > exchange.profile.repeated_fraction:
        return
    way = exchange.random.choice(("before", "before", "after", "both", "late"))
    if way in ("before", "both"):
        connection.before_next.append(refusal)
    if way in ("after", "both"):
        connection.after_next.append(refusal)
    if way == "late":
        delay_s = exchange.random.choice(exchange.profile.delays_s)
        exchange.after(delay_s, lambda: connection.write(refusal))


def render_prefill(exchange: "UpstreamExchange") -> bytes:
    request = exchange.request.headers["request-id"]
    result = {"kv_handle": f"handle-{request}", "tokens": 1, "version": 1}
    return render_response(200, json.dumps(result).encode(), Request_Id=request)


@PREFILLS.register("prefill", 60)
def prefill(exchange: "UpstreamExchange") -> None:
    answer = render_prefill(exchange)
    exchange.after(choose_delay(exchange), lambda: write_in_pieces(exchange, answer))


@PREFILLS.register("prefill and answer twice", 5)
def prefill_twice(exchange: "UpstreamExchange") -> None:
    answer = render_prefill(exchange)
    exchange.after(0.0, lambda: exchange.write(answer))
    exchange.after(choose_delay(exchange), lambda: exchange.connection.write(answer))


@PREFILLS.register("fail", 5)
def fail_prefill(exchange: "UpstreamExchange") -> None:
    answer = render_answer(exchange, 500)
    exchange.after(choose_delay(exchange), lambda: exchange.write(answer))


PREFILLS.register("refuse", 15)(refuse)
PREFILLS.register("end", 8)(end_connection)
PREFILLS.register("silence", 4)(stay_silent)


@OWN_REQUESTS.register("answer", 50)
def answer_own(exchange: "UpstreamExchange") -> None:
    answer = render_response(200, b"{}")
    exchange.after(choose_delay(exchange), lambda: exchange.write(answer))


@OWN_REQUESTS.register("report", 0)
def report(exchange: "UpstreamExchange") -> None:
    """Say what an upstream is asked before a stream goes on there."""
    document = {"stage": exchange.upstream.stage, "seq": 0, "born": BORN_MS}
    exchange.write(render_response(200, json.dumps(document).encode()))


@OWN_REQUESTS.register("answer twice", 10)
def answer_own_twice(exchange: "UpstreamExchange") -> None:
    status = exchange.random.choice((200, 404, 503))
    answer = render_response(status, b"{}")
    exchange.after(0.0, lambda: exchange.write(answer))
    delay_s = exchange.random.choice(exchange.profile.delays_s)
    exchange.after(delay_s, lambda: exchange.connection.write(answer))


@OWN_REQUESTS.register("refuse", 15)
def refuse_own(exchange: "UpstreamExchange") -> None:
    refusal = render_response(503, b"no", Not_Run="1")
    repeat_later(exchange, refusal)
    exchange.after(0.0, lambda: exchange.write(refusal))


@OWN_REQUESTS.register("answer late", 15)
def answer_own_late(exchange: "UpstreamExchange") -> None:
    status = exchange.random.choice((200, 404, 503))
    answer = render_response(status, b"{}")
    exchange.after(LATE_S, lambda: exchange.write(answer))


OWN_REQUESTS.register("end", 10)(end_connection)
