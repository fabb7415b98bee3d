"""Import the public names of a package on their first use."""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["import_on_use"]


def import_on_use(package: str, modules: dict[str, str]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package, given the module of each public name.

    A program can then hold its signals before the package loads anything else.
    """

    def import_name(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return import_name
