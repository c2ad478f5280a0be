"""Guard that engines get no further order while one may still take effect."""

from bramleyport.core import UpstreamId
from bramleyport.fleet import Stage
from bramleyport.gateway._stage_orders import (
    ACCEPTED_ORDER_TIMEOUT_S,
    UNANSWERED_ORDER_TIMEOUT_S,
    StageOrderTracker,
)
from tests.fleet_builders import make_engine

ENGINE = UpstreamId("e")
DECODER = make_engine("e", Stage.DECODE)


def test_accepted_order_is_pending_until_the_registration_shows_it() -> None:
    tracker = StageOrderTracker()
    tracker.record_ordered(DECODER, Stage.PREFILL, 0.0)
    assert tracker.is_pending(make_engine("e", Stage.DECODE))
    assert not tracker.is_pending(make_engine("e", Stage.PREFILL))
    assert tracker.find_ordered_stage(ENGINE) is Stage.PREFILL


def test_order_without_effect_expires() -> None:
    # Otherwise an engine whose order was lost would never get another one.
    tracker = StageOrderTracker()
    tracker.record_ordered(DECODER, Stage.PREFILL, 0.0)
    tracker.drop_expired(ACCEPTED_ORDER_TIMEOUT_S + 0.1)
    assert not tracker.is_pending(make_engine("e", Stage.DECODE))
    assert tracker.find_ordered_stage(ENGINE) is None


def test_unanswered_order_is_pending_whatever_the_registration_shows() -> None:
    # It may take effect seconds later, after a newer order.
    tracker = StageOrderTracker()
    tracker.record_ordered(DECODER, Stage.PREFILL, 0.0)
    tracker.record_unanswered(ENGINE, 0.0)
    tracker.drop_expired(UNANSWERED_ORDER_TIMEOUT_S - 0.1)
    assert tracker.is_pending(make_engine("e", Stage.PREFILL))
    tracker.drop_expired(UNANSWERED_ORDER_TIMEOUT_S + 0.1)
    assert not tracker.is_pending(make_engine("e", Stage.PREFILL))


def test_order_to_a_process_that_has_ended_is_not_pending() -> None:
    """Guards against waiting for an engine that crashed before it changed its stage."""
    tracker = StageOrderTracker()
    tracker.record_ordered(
        make_engine("e", Stage.PREFILL, started_ms=1), Stage.DECODE, 0.0
    )
    assert tracker.is_pending(make_engine("e", Stage.PREFILL, started_ms=1))
    assert not tracker.is_pending(make_engine("e", Stage.PREFILL, started_ms=2))
