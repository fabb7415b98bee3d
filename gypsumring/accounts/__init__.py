"""Client accounts: their keys, shares and caps, and what they have running."""

from gypsumring.accounts.model import ClientAccount, Resources

__all__ = ["ClientAccount", "Resources"]
