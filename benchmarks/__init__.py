"""Benchmarks with bounds from stated targets."""
