"""Render answers as text."""

from typing import Any

__all__ = ["render"]


def render(value: Any, indent: int = 0) -> str:
    """Return nested data as indented lines of ``key: value``."""
    padding = "  " * indent
    match value:
        case dict():
            return "\n".join(
                render_entry(str(key), item, indent) for key, item in value.items()
            )
        case list() | tuple():
            return "\n".join(render_item(item, indent) for item in value)
        case _:
            return f"{padding}{value}"


def render_entry(key: str, item: Any, indent: int) -> str:
    """Return one entry of an object, with nested values on separate lines."""
    padding = "  " * indent
    if isinstance(item, dict | list | tuple) and item:
        return f"{padding}{key}:\n{render(item, indent + 1)}"
    return f"{padding}{key}: {item if item not in ({}, [], ()) else '-'}"


def render_item(item: Any, indent: int) -> str:
    """Return one item of a list; a (topic, text) pair is rendered on one line."""
    padding = "  " * indent
    match item:
        case [str() as topic, str() as text]:
            return f"{padding}{topic}: {text}"
        case dict() | list() | tuple():
            return f"{padding}-\n{render(item, indent + 1)}"
        case _:
            return f"{padding}- {item}"
