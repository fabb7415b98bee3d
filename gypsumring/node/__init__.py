"""The program ``gypsumring-node``: one identical process on each machine."""

from gypsumring.node.node import Node

__all__ = ["Node"]
