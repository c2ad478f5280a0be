"""Test invariants I7 and I9 on a simulated fleet of the pure modules."""

import json

import pytest
from click.testing import CliRunner

from bramleyport.authority import LEASE_TTL_S
from bramleyport.bench._recovery import (
    CONFIGURATION_TARGET_S,
    LEAVING_TARGET_S,
    Experiment,
    Measurement,
    make_document,
    make_hosts,
    recovery,
)
from bramleyport.bench._recovery_fleet import Fleet, Node
from bramleyport.bench._recovery_lease import OUTAGE_S
from bramleyport.bench._recovery_store import VirtualStore
from bramleyport.core import ServiceName

SEEDS = [1, 2, 3]


@pytest.fixture(scope="module", params=SEEDS)
def measurements(request: pytest.FixtureRequest) -> list[Measurement]:
    """Run all fault cases on 50 processes while one message in 50 is lost."""
    return Experiment(50, 0.02, request.param).run()


def select_values(measurements: list[Measurement], word: str) -> list[float]:
    return [item.value for item in measurements if word in item.measure]


def test_i7_leaving_upstream_gets_no_new_work(measurements: list[Measurement]) -> None:
    values = select_values(measurements, "no work after")
    assert len(values) == 2
    assert max(values) <= LEAVING_TARGET_S


def test_i9_record_is_in_force_everywhere(measurements: list[Measurement]) -> None:
    values = select_values(measurements, "record")
    assert len(values) == 3
    assert max(values) <= CONFIGURATION_TARGET_S


def test_pool_regains_a_holder_in_time(measurements: list[Measurement]) -> None:
    """A pool gets no orders while it has no lease holder."""
    gaps = [item for item in measurements if "no lease holder" in item.measure]
    assert [item.met for item in gaps if item.target] == [True, True]
    frozen = [item for item in measurements if "frozen" in item.measure]
    assert all(item.value > 0 for item in frozen)
    assert max(item.value for item in frozen if item.unit) < OUTAGE_S + LEASE_TTL_S


def read_version(node: Node) -> int:
    record = node.replica.records.records[ServiceName("service-0")]
    assert record.model is not None
    return int(record.model.versions[0].removeprefix("v"))


@pytest.mark.parametrize("seed", SEEDS)
def test_i9_record_never_reverts(seed: int) -> None:
    """Records change, also to invalid ones, while zones lose and regain the store."""
    hosts = make_hosts(50)
    store = VirtualStore({"service-0": make_document(0, 0)}, hosts)
    fleet = Fleet(hosts, store, 0.02, seed)
    zones = sorted({host.zone for host in hosts})
    last_versions = {node.name: 0 for node in fleet.list_live()}
    for version in range(1, 20):
        store.stalled = {zones[version % 7], zones[(version * 3) % 7]}
        store.put_record("service-0", make_document(0, version))
        if version % 4 == 0:
            store.put_record("service-0", b'{"name": "service-0"}')
        for _ in range(8):
            fleet.run_until(fleet.now_s + 0.25)
            for node in fleet.list_live():
                assert read_version(node) >= last_versions[node.name]
                last_versions[node.name] = read_version(node)
    fleet.run_until(fleet.now_s + CONFIGURATION_TARGET_S)
    assert {read_version(node) for node in fleet.list_live()} == {19}


def test_command_prints_every_measurement_as_json() -> None:
    result = CliRunner().invoke(recovery, ["--size", "50", "--json"])
    assert result.exit_code == 0
    rows = json.loads(result.output)
    assert {"processes", "measure", "value", "unit", "target", "met"} <= set(rows[0])
