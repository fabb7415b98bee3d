"""Utilities shared by the subpackages."""
