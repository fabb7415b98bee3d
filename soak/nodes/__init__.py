"""Soak of real node processes: one owner serves again after faults in series."""
