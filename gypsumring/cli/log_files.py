"""List the log files of nodes and split their lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path

__all__ = ["list_files", "split_lines"]

JSON_START = b"{"


def list_files(names: Iterable[str]) -> list[Path]:
    """Return the given files and the files directly in the given folders."""
    paths: list[Path] = []
    for named_path in map(Path, names):
        if named_path.is_dir():
            paths += sorted(path for path in named_path.iterdir() if path.is_file())
        else:
            paths.append(named_path)
    return paths


def split_lines(path: Path) -> Iterator[tuple[list[str], bytes]]:
    """Yield the words before the JSON object of each line, and the object's bytes."""
    with open(path, "rb") as file:
        for line in file:
            begin = line.find(JSON_START)
            if begin >= 0:
                yield line[:begin].decode(errors="replace").split(), line[begin:]
