"""Client accounts: their keys, shares and caps, and what they have running."""

from gypsumring.accounts.exceptions import UnknownKey
from gypsumring.accounts.keys import MAX_KEY_BYTES, KeyRing, digest_key
from gypsumring.accounts.model import ClientAccount, Resources
from gypsumring.accounts.rate import RateMeter
from gypsumring.accounts.usage import AccountUsage, dominant_share

__all__ = [
    "AccountUsage",
    "ClientAccount",
    "KeyRing",
    "MAX_KEY_BYTES",
    "RateMeter",
    "Resources",
    "UnknownKey",
    "digest_key",
    "dominant_share",
]
