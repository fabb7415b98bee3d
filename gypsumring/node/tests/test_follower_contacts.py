"""Tests of the contacts of an owner with the nodes that follow it."""

from gypsumring.node.follower_contacts import MAX_CONTACT_AGE_S, FollowerContacts
from gypsumring.utils.testing import make_load_tests


def make_contacts(**last_message_at: float) -> FollowerContacts:
    """Return contacts with the time of the last message of each node."""
    contacts = FollowerContacts()
    for node, at in last_message_at.items():
        contacts.record(node, at)
    return contacts


def test_contacts_are_kept_while_all_nodes_send_messages():
    assert make_contacts(n1=14.9, n2=14.6).are_kept(since=10.0, now=15.0)


# A node that has taken over, or that is cut off, sends no message any more.
def test_contacts_are_not_kept_once_one_node_is_silent():
    contacts = make_contacts(n1=14.9, n2=14.9 - MAX_CONTACT_AGE_S)
    assert not contacts.are_kept(since=10.0, now=15.0)


# A node that left before the owner was confirmed last does not count.
def test_nodes_that_left_earlier_do_not_count():
    contacts = make_contacts(n1=14.9, n2=10.0 - MAX_CONTACT_AGE_S - 0.1)
    assert contacts.are_kept(since=10.0, now=15.0)


# Guards against an owner that is cut off before the first node follows it.
def test_no_contact_at_all_confirms_nothing():
    assert not make_contacts().are_kept(since=10.0, now=10.1)


load_tests = make_load_tests(globals())
