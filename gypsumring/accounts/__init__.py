"""Client accounts: their keys, shares and caps, and what they have running."""

from gypsumring.accounts.model import ClientAccount, Resources
from gypsumring.accounts.rate import RateMeter
from gypsumring.accounts.usage import AccountUsage, dominant_share

__all__ = ["AccountUsage", "ClientAccount", "RateMeter", "Resources", "dominant_share"]
