"""Soak of real node processes between which and the store paths are cut."""
