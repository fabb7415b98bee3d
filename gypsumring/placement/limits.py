"""Constants that the parts of the rack manager share."""

__all__ = ["ACT_POLL_S", "PART"]

PART = "placement"
ACT_POLL_S = 0.05
