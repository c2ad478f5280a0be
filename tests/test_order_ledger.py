"""Guard that engines with an order whose effect is unknown get no other."""

from bramleyport.core import UpstreamId
from bramleyport.fleet import Stage
from bramleyport.gateway._order_ledger import DOUBT_S, SHOWN_WITHIN_S, OrderLedger
from tests.fleet_builders import make_engine

ENGINE = UpstreamId("e")


def test_accepted_order_is_open_until_the_registration_shows_it() -> None:
    ledger = OrderLedger()
    ledger.note_ordered(ENGINE, Stage.PREFILL, 0.0)
    assert ledger.is_open(make_engine("e", Stage.DECODE))
    assert not ledger.is_open(make_engine("e", Stage.PREFILL))
    assert ledger.find_stage(ENGINE) is Stage.PREFILL


def test_order_without_effect_is_forgotten() -> None:
    # An engine whose order was lost for good would never change again.
    ledger = OrderLedger()
    ledger.note_ordered(ENGINE, Stage.PREFILL, 0.0)
    ledger.drop_settled(SHOWN_WITHIN_S + 0.1)
    assert not ledger.is_open(make_engine("e", Stage.DECODE))
    assert ledger.find_stage(ENGINE) is None


def test_unanswered_order_is_open_though_the_registration_shows_its_stage() -> None:
    # It may be carried out seconds later, after a newer one.
    ledger = OrderLedger()
    ledger.note_ordered(ENGINE, Stage.PREFILL, 0.0)
    ledger.note_unanswered(ENGINE, 0.0)
    ledger.drop_settled(DOUBT_S - 0.1)
    assert ledger.is_open(make_engine("e", Stage.PREFILL))
    ledger.drop_settled(DOUBT_S + 0.1)
    assert not ledger.is_open(make_engine("e", Stage.PREFILL))
