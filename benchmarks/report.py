"""Print a table that compares the latest two benchmark runs."""

from pathlib import Path

from benchmarks.figures import Figure
from benchmarks.results import RunResult, list_results

__all__ = ["main", "render_report"]

BAR_WIDTH = 20


def index_figures(result: RunResult) -> dict[str, Figure]:
    """Return the figures of a run by topic and name."""
    return {
        f"{topic}: {figure.name}": figure
        for topic, figures in result.figures.items()
        for figure in figures
    }


def render_bar(figure: Figure) -> str:
    """Return a bar that shows the value as a share of its bound."""
    if not figure.bound:
        return ""
    filled = min(BAR_WIDTH, round(BAR_WIDTH * figure.value / figure.bound))
    return "#" * filled + "." * (BAR_WIDTH - filled)


def render_report(results: list[RunResult]) -> str:
    """Return a table of the newest run beside the one before it."""
    if not results:
        return "no results yet; run make bench"
    newest = index_figures(results[-1])
    before = index_figures(results[-2]) if len(results) > 1 else {}
    previous = results[-2].commit if len(results) > 1 else "-"
    lines = [f"{'figure':<72} {results[-1].commit:>12} {previous:>12} {'bound':>9}"]
    for name, figure in newest.items():
        old = f"{before[name].value:.4g}" if name in before else "-"
        bound = "-" if figure.bound is None else f"{figure.bound:g}"
        verdict = "" if figure.passed else "FAILED "
        lines.append(
            f"{name[:72]:<72} {figure.value:>12.4g} {old:>12} {bound:>9} "
            f"{verdict}{render_bar(figure)}".rstrip()
        )
    return "\n".join(lines)


def main() -> None:
    """Print the report of this repository's results."""
    print(render_report(list_results(Path(__file__).parent.parent / "results")))


if __name__ == "__main__":
    main()
