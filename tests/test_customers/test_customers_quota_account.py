"""Tests of the tokens that one node holds and asks for."""

from trefoilwind.customers import quota_account
from trefoilwind.customers import quota_messages


def test_token_of_a_waiting_call_is_not_asked_for_twice():
    """Guards against two loans for one call, of which one ended unused."""
    account = quota_account.Account(0.0)
    account.note_demand(0.0)
    assert account.ask("c", 1, 0.0).needed == 1
    assert not account.wants(1, 0.02)
    assert account.ask("c", 1, 0.02).needed == 0
    assert account.wants(2, 0.02)
    account.add("o", 0.0, quota_messages.Loan("c", 0, 0, 0.1), 0.08)
    assert account.ask("c", 1, 0.1).needed == 1


def test_token_is_asked_for_again_when_no_answer_came():
    account = quota_account.Account(0.0)
    account.note_demand(0.0)
    account.ask("c", 1, 0.0)
    later = quota_account.ANSWER_S + 0.01
    assert account.wants(1, later)
    assert account.ask("c", 1, later).needed == 1
