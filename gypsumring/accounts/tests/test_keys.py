"""Tests of keys: unknown, withdrawn, overlong and odd ones name no account."""

from gypsumring.accounts import MAX_KEY_BYTES, ClientAccount, KeyRing, digest_key
from gypsumring.utils.testing import make_load_tests


def make_account(name, *keys):
    """Return an account with these keys."""
    return ClientAccount(name=name, key_digests=tuple(map(digest_key, keys)))


def test_each_key_of_an_account_names_it():
    ring = KeyRing([make_account("a", b"k1", b"k2"), make_account("b", b"k3")])
    found = [ring.find_account(key).name for key in (b"k1", b"k2", b"k3")]
    assert found == ["a", "a", "b"]


def test_unknown_and_odd_keys_name_no_account():
    ring = KeyRing([make_account("a", b"k1")])
    for key in (b"", b"k", b"k1 ", b"K1", b"\xff\x00", b"k1" * 5000):
        assert ring.find_account(key) is None, key


def test_longest_key_is_found():
    key = b"k" * MAX_KEY_BYTES
    assert KeyRing([make_account("a", key)]).find_account(key).name == "a"


def test_accounts_hold_no_key():
    account = make_account("a", b"secret-key")
    assert "secret-key" not in repr(account)


load_tests = make_load_tests(globals())
