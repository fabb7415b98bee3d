"""Soak of real node processes whose owner is cut off with a few executors."""
