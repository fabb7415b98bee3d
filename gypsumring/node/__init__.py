"""The program ``gypsumring-node``: one identical process on each machine."""

from gypsumring.utils.lazy import import_on_use

__all__ = ["Node"]

__getattr__ = import_on_use(__name__, {"Node": "node"})
