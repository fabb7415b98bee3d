"""Figures that benchmarks print and the report collects."""

import msgspec

__all__ = ["Figure", "print_figures"]


class Figure(msgspec.Struct, frozen=True):
    """Hold one measured value; ``bound`` is the stated target, if there is one."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    passed: bool = True


def print_figures(figures: list[Figure]) -> None:
    """Print one line for each figure."""
    for figure in figures:
        bound = "" if figure.bound is None else f" (bound {figure.bound:g})"
        verdict = "" if figure.passed else " FAILED"
        print(f"{figure.name}: {figure.value:.4g} {figure.unit}{bound}{verdict}")
