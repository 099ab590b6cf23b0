"""Notices of backend servers that an entry node repeats to their nodes."""

import dataclasses
import math

from tests.test_gateway import test_gateway_entry
from trefoilwind import codec
from trefoilwind.gateway import server_notices
from trefoilwind.model import mesh

_MEMBER = dataclasses.replace(
    test_gateway_entry.make_member(1), instance_id="i-1", started_ms=5
)
_NEXT = dataclasses.replace(_MEMBER, instance_id="i-2", started_ms=9)
_LIMITED = mesh.ServerNotice(limit_per_s=2.5)
_LEAVING = mesh.ServerNotice(is_leaving=True)


def test_limit_is_repeated_until_an_answer_does_not_name_it():
    notices = server_notices.ServerNotices()
    assert notices.message("n1") is None
    notices.record(_MEMBER, _LIMITED)
    message = notices.message("n1")
    assert (message.instance_id, message.started_ms) == ("i-1", 5)
    assert message.notice == _LIMITED
    notices.record(_MEMBER, mesh.ServerNotice())
    assert notices.message("n1") is None


def test_process_that_is_leaving_does_not_stay():
    notices = server_notices.ServerNotices()
    notices.record(_MEMBER, _LEAVING)
    notices.record(_MEMBER, mesh.ServerNotice())
    assert notices.has_left(_MEMBER)
    assert notices.message("n1").notice == _LEAVING


def test_notices_of_a_process_do_not_apply_to_the_next_one():
    notices = server_notices.ServerNotices()
    notices.record(_MEMBER, mesh.ServerNotice(2.5, True))
    assert not notices.has_left(_NEXT)
    notices.record(_NEXT, mesh.ServerNotice())
    assert notices.message("n1") is None


def test_message_without_a_limit_survives_encoding():
    notices = server_notices.ServerNotices()
    notices.record(_MEMBER, _LEAVING)
    message = notices.message("n1")
    decoded = codec.decode(codec.encode(message), "test")
    assert decoded == message
    assert decoded.notice.limit_per_s == math.inf


def test_server_that_left_by_its_member_record_is_repeated_with_its_limit():
    notices = server_notices.ServerNotices()
    notices.record(_MEMBER, _LIMITED)
    notices.record_left(_MEMBER)
    assert notices.has_left(_MEMBER)
    assert notices.message("n1").notice == mesh.ServerNotice(2.5, True)
    assert not notices.has_left(_NEXT)


def test_late_answer_of_a_replaced_process_does_not_remove_a_notice():
    notices = server_notices.ServerNotices()
    notices.record(_NEXT, _LIMITED)
    notices.record(_MEMBER, mesh.ServerNotice())
    notices.record_left(_MEMBER)
    assert notices.message("n1").notice == _LIMITED


def test_notices_of_nodes_that_are_gone_are_removed():
    notices = server_notices.ServerNotices()
    notices.record(_MEMBER, _LIMITED)
    notices.evict(lambda node_id: node_id != "n1")
    assert notices.message("n1") is None
