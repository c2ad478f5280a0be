"""Measure how fast changes of records and hosts reach all processes, and the cost."""

import json
import statistics
from collections.abc import Callable
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, Final

import click

from bramleyport.bench._recovery_fleet import Fleet, Node, considers_leaving
from bramleyport.bench._recovery_lease import measure_leases
from bramleyport.bench._recovery_store import VirtualStore
from bramleyport.core import ProcessId, RegionName, ZoneName
from bramleyport.membership import Host, HostState, ProcessRole

SIZES: Final = (50, 500, 2_500)
ENTRY_FRACTION: Final = 380 / 2_480
ZONES: Final = 7
REGIONS: Final = 3
RECORD_COUNT: Final = 12
SETTLE_S: Final = 10.0
TRAFFIC_WINDOW_S: Final = 10.0
WAIT_LIMIT_S: Final = 30.0
# The default interval of an agent's load reports.
LOAD_REPORT_INTERVAL_S: Final = 1.0

CONFIGURATION_TARGET_S: Final = 8.0
LEAVING_TARGET_S: Final = 5.0
TRAFFIC_TARGET_BYTES_PER_S: Final = 7_000.0
STORE_TARGET_PER_S: Final = 1_000.0


@dataclass(frozen=True, slots=True)
class Measurement:
    """Describe one measured value and its target."""

    processes: int
    measure: str
    value: float
    unit: str
    target: float | None = None

    @property
    def met(self) -> bool | None:
        """Return whether the target is met."""
        return None if self.target is None else self.value <= self.target


class Experiment:
    """Measure one fleet under load and in the fault cases."""

    def __init__(
        self,
        size: int,
        loss: float,
        seed: int,
        load_interval_s: float = LOAD_REPORT_INTERVAL_S,
    ) -> None:
        self.size = size
        self.measurements: list[Measurement] = []
        self._rng = Random(seed)
        hosts = self._hosts = make_hosts(size)
        self._seed = seed
        documents = {f"service-{i}": make_document(i, 0) for i in range(RECORD_COUNT)}
        self._store = VirtualStore(documents, hosts)
        self._fleet = Fleet(hosts, self._store, loss, seed)
        self._fleet.load_interval_s = load_interval_s
        self._version = 0

    def run(self) -> list[Measurement]:
        """Run all cases and return the measurements."""
        self._fleet.run_until(SETTLE_S)
        self._measure_traffic()
        times = [self._change_record() for _ in range(3)]
        self._add("record everywhere", max(times), "s", CONFIGURATION_TARGET_S)
        self._leave_by_notice()
        self._leave_by_list()
        self._stall_zone()
        self._kill_watchers()
        for row in measure_leases(self._hosts, self._seed):
            self._add(*row)
        return self.measurements

    def _add(
        self, measure: str, value: float, unit: str, target: float | None = None
    ) -> None:
        measurement = Measurement(self.size, measure, round(value, 3), unit, target)
        self.measurements.append(measurement)

    def _measure_traffic(self) -> None:
        fleet = self._fleet
        nodes = fleet.list_live()
        before = {node.name: read_traffic(node) for node in nodes}
        calls, waiting = self._store.calls, 0
        end_s = fleet.now_s + TRAFFIC_WINDOW_S
        while fleet.now_s < end_s:
            fleet.run_until(fleet.now_s + 1.0)
            waiting = max(waiting, self._store.waiting)
        rate = (self._store.calls - calls) / TRAFFIC_WINDOW_S
        self._add("store reads and watches", rate + waiting, "1/s", STORE_TARGET_PER_S)
        for role in ProcessRole:
            rates = [
                [
                    (current - earlier) / TRAFFIC_WINDOW_S
                    for current, earlier in zip(
                        read_traffic(node), before[node.name], strict=True
                    )
                ]
                for node in nodes
                if node.host.role is role
            ]
            self._add_traffic(role.value, rates)

    def _add_traffic(self, role: str, rates: list[list[float]]) -> None:
        control = [total - load for _, total, load in rates]
        totals = [total for _, total, _ in rates]
        messages = [count for count, _, _ in rates]
        self._add(f"{role} messages, mean", statistics.fmean(messages), "1/s")
        target = TRAFFIC_TARGET_BYTES_PER_S
        self._add(f"{role} without load, mean", statistics.fmean(control), "B/s")
        self._add(f"{role} without load, most", max(control), "B/s")
        self._add(f"{role} traffic, mean", statistics.fmean(totals), "B/s", target)
        self._add(f"{role} traffic, most", max(totals), "B/s", target)

    def _change_record(self) -> float:
        self._version += 1
        index = self._rng.randrange(RECORD_COUNT)
        document = make_document(index, self._version)
        revision = self._store.put_record(f"service-{index}", document)
        return self._wait(
            self._fleet.list_live(),
            lambda node: node.replica.records.revision >= revision,
        )

    def _leave_by_notice(self) -> None:
        node = self._pick_agent()
        self._fleet.announce_leaving(node)
        self._add_leaving("notice", node)

    def _leave_by_list(self) -> None:
        node = self._pick_agent()
        self._store.put_host(node.host, state=HostState.LEAVING)
        self._add_leaving("host list", node)

    def _add_leaving(self, source: str, leaving_node: Node) -> None:
        entries = self._fleet.list_live(ProcessRole.ENTRY)
        linked = [entry for entry in entries if leaving_node.name in entry.sessions]
        waited_s = self._wait(
            linked, lambda node: considers_leaving(node, leaving_node.name)
        )
        self._add(f"no work after {source}", waited_s, "s", LEAVING_TARGET_S)

    def _stall_zone(self) -> None:
        zone = self._fleet.list_live()[0].host.zone
        self._store.stalled.add(zone)
        waited_s = self._change_record()
        target = CONFIGURATION_TARGET_S
        self._add("record, a zone without store", waited_s, "s", target)
        self._fleet.run_until(self._fleet.now_s + 20.0)
        self._store.stalled.clear()

    def _kill_watchers(self) -> None:
        zone = self._fleet.list_live()[0].host.zone
        for node in self._fleet.list_live(ProcessRole.ENTRY):
            watching = node.topology is not None and node.topology.is_watching
            if node.host.zone == zone and watching:
                self._fleet.kill(node)
        waited_s = self._change_record()
        target = CONFIGURATION_TARGET_S
        self._add("record, a zone's watchers killed", waited_s, "s", target)

    def _pick_agent(self) -> Node:
        return self._rng.choice(self._fleet.list_live(ProcessRole.AGENT))

    def _wait(self, nodes: list[Node], condition: Callable[[Node], bool]) -> float:
        fleet = self._fleet
        start_s = fleet.now_s
        pending = list(nodes)

        def done() -> bool:
            # Only the last pending process is checked, until it meets the condition.
            while pending and condition(pending[-1]):
                pending.pop()
            return not pending

        fleet.run_until(start_s + WAIT_LIMIT_S, done)
        waited_s = fleet.now_s - start_s
        fleet.run_until(fleet.now_s + 2.0)
        return waited_s


def make_hosts(size: int) -> list[Host]:
    """Return entries and agents spread over zones and regions."""
    entries = max(2 * ZONES, round(size * ENTRY_FRACTION))
    hosts = []
    for index in range(size):
        role = ProcessRole.ENTRY if index < entries else ProcessRole.AGENT
        zone = index % ZONES
        hosts.append(
            Host(
                process=ProcessId(f"{role.value}-{index}"),
                role=role,
                address=f"10.0.{index // 250}.{index % 250}",
                port=7000,
                zone=ZoneName(f"zone-{zone}"),
                region=RegionName(f"region-{zone % REGIONS}"),
            )
        )
    return hosts


def make_document(index: int, version: int) -> bytes:
    """Return a service record of typical size."""
    targets = {
        "first_token_s": 0.61,
        "between_tokens_s": 0.057,
        "answer_s": 20.0,
        "price_per_million_tokens": 12.0,
        "guaranteed_share": 0.3,
    }
    return json.dumps(
        {
            "name": f"service-{index}",
            "model": {"name": f"model-{index}", "versions": [f"v{version}"]},
            "ranks": dict.fromkeys(("urgent", "standard", "batch"), targets),
        }
    ).encode()


def read_traffic(node: Node) -> tuple[int, int, int]:
    """Return the numbers of messages, of all bytes and of bytes of load reports."""
    traffic = node.traffic
    total = traffic.sent_bytes + traffic.received_bytes
    return traffic.messages, total, traffic.load_bytes


def render_table(measurements: list[Measurement]) -> str:
    """Return the measurements as a table."""
    verdicts = {None: "", True: "met", False: "MISSED"}
    lines = [f"{'processes':>9}  {'measure':<36}{'value':>12}  {'target':>8}"]
    for item in measurements:
        target = "" if item.target is None else f"{item.target:g}"
        value = f"{item.value:g} {item.unit}"
        lines.append(
            f"{item.processes:>9}  {item.measure:<36}{value:>12}  "
            f"{target:>8}  {verdicts[item.met]}".rstrip()
        )
    return "\n".join(lines)


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, help="Processes; repeatable.")
@click.option("--loss", default=0.01, help="Share of messages lost.")
@click.option("--seed", default=1, help="Seed of delays, losses and choices.")
@click.option(
    "--load-interval",
    default=LOAD_REPORT_INTERVAL_S,
    help="Seconds between load reports.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def recovery(
    sizes: tuple[int, ...], loss: float, seed: int, load_interval: float, as_json: bool
) -> None:
    """Measure recovery of membership and records under a virtual clock."""
    measurements: list[Measurement] = []
    for size in sizes or SIZES:
        measurements += Experiment(size, loss, seed, load_interval).run()
    if as_json:
        rows: list[dict[str, Any]] = [
            {**asdict(item), "met": item.met} for item in measurements
        ]
        click.echo(json.dumps(rows, indent=1))
        return
    click.echo(render_table(measurements))


if __name__ == "__main__":
    recovery()
