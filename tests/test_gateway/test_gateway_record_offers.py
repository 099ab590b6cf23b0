"""Tests of the requests for records that peers offered."""

from trefoilwind.gateway import control_messages
from trefoilwind.gateway import record_offers


def test_an_offer_is_new_only_beyond_the_own_offset():
    offers = record_offers.RecordOffers()
    assert offers.note("n1", 3, None, 1.0)
    assert offers.note("n2", 5, 4, 1.0)
    assert not offers.note("n1", 4, 4, 1.0)
    assert offers.peer == "n2"
    assert offers.is_open(4)
    assert not offers.is_open(5)


def test_records_are_overdue_some_time_after_the_first_offer():
    offers = record_offers.RecordOffers()
    assert not offers.is_overdue(0, 1.0)
    offers.note("n1", 5, 4, 1.0)
    offers.note("n1", 6, 4, 1.5)
    late = 1.0 + record_offers.OVERDUE_S + 0.01
    assert not offers.is_overdue(4, late - 0.02)
    assert offers.is_overdue(4, late)
    assert offers.is_overdue(5, late)
    assert not offers.is_overdue(6, late)


def test_one_request_at_a_time_and_a_whole_one_after_no_answer():
    offers = record_offers.RecordOffers()
    assert offers.request(7, 1.0) == control_messages.DeltasRequest(7)
    assert offers.request(7, 1.1) is None
    late = 1.0 + record_offers.REQUEST_TIMEOUT_S
    assert offers.request(7, late) == control_messages.RecordsRequest(7)
    offers.handle_applied()
    assert offers.request(8, late) == control_messages.DeltasRequest(8)


def test_whole_records_are_requested_once_after_a_delta_without_its_base():
    offers = record_offers.RecordOffers()
    offers.request(7, 1.0)
    whole = control_messages.RecordsRequest(7)
    assert offers.retry_whole(7, 1.1) == whole
    assert offers.request(7, 1.2) is None
    assert offers.retry_whole(7, 1.3) is None
    assert offers.request(7, 1.4) == control_messages.DeltasRequest(7)
