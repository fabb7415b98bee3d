"""Sweep scheduler constants over a load model that runs in seconds on a mock clock."""
