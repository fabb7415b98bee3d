"""Keep the results of benchmark runs by commit."""

import subprocess
from pathlib import Path

import msgspec

from benchmarks.figures import Figure

__all__ = ["RunResult", "keep_result", "list_results"]


class RunResult(msgspec.Struct):
    """Hold the figures of one run; ``committed_at`` is in Unix seconds."""

    commit: str
    committed_at: int
    modified: bool
    figures: dict[str, list[Figure]]


def run_git(*arguments: str) -> str:
    """Return the output of a git command in the repository of this file."""
    result = subprocess.run(
        ["git", *arguments],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip()


def keep_result(folder: Path, figures: dict[str, list[Figure]]) -> Path:
    """Write the figures into one file named after the commit."""
    commit = run_git("rev-parse", "--short=12", "HEAD") or "unknown"
    result = RunResult(
        commit,
        int(run_git("show", "-s", "--format=%ct", "HEAD") or 0),
        bool(run_git("status", "--porcelain", "--untracked-files=no")),
        figures,
    )
    folder.mkdir(exist_ok=True)
    path = folder / f"{commit}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    return path


def list_results(folder: Path) -> list[RunResult]:
    """Return all kept results, the oldest commit first."""
    results = [
        msgspec.json.decode(path.read_bytes(), type=RunResult)
        for path in folder.glob("*.json")
    ]
    return sorted(results, key=lambda result: (result.committed_at, result.commit))
