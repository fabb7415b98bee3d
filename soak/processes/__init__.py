"""Fault runs with real processes on loopback."""
