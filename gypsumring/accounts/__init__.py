"""Client accounts: their keys, shares and caps, and what they have running."""

from gypsumring.accounts.model import ClientAccount, Resources
from gypsumring.accounts.usage import AccountUsage, dominant_share

__all__ = ["AccountUsage", "ClientAccount", "Resources", "dominant_share"]
