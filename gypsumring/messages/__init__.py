"""Typed messages between processes, log records, and their codec.

The package exports nothing; import ``work``, ``records``, ``peer`` or ``codec``.
"""
