"""Keys of client accounts.

Keys are compared as digests under a secret of the process, so that neither a copy of a
key nor a hint from the time of a comparison leaves the process.
"""

import hashlib
import secrets
from collections.abc import Iterable

from gypsumring.accounts.model import ClientAccount

__all__ = ["KeyRing", "MAX_KEY_BYTES", "digest_key"]

# Longer keys are refused without computing their digest.
MAX_KEY_BYTES = 256
DIGEST_BYTES = 32

process_secret = secrets.token_bytes(DIGEST_BYTES)


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key, which differs between processes."""
    return hashlib.blake2b(key, key=process_secret, digest_size=DIGEST_BYTES).digest()


class KeyRing:
    """Client accounts by the digests of their keys."""

    __slots__ = ("accounts",)

    def __init__(self, accounts: Iterable[ClientAccount]):
        self.accounts = {
            digest: account for account in accounts for digest in account.key_digests
        }

    def find_account(self, key: bytes) -> ClientAccount | None:
        """Return the account of a key, or None if the key is unknown."""
        if not 0 < len(key) <= MAX_KEY_BYTES:
            return None
        return self.accounts.get(digest_key(key))
