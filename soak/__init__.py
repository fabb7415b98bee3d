"""Randomised runs of a whole cell with faults, checked from outside."""
