"""Find the log files of nodes and split their lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path

__all__ = ["list_files", "split_lines"]

JSON_START = b"{"


def list_files(names: Iterable[str]) -> list[Path]:
    """Return the files named, and those in the folders named."""
    paths: list[Path] = []
    for named_path in map(Path, names):
        if named_path.is_dir():
            paths += sorted(path for path in named_path.iterdir() if path.is_file())
        else:
            paths.append(named_path)
    return paths


def split_lines(path: Path) -> Iterator[tuple[list[str], bytes]]:
    """Return the words in front of each JSON object of a file, and the object."""
    with open(path, "rb") as file:
        for line in file:
            begin = line.find(JSON_START)
            if begin >= 0:
                yield line[:begin].decode(errors="replace").split(), line[begin:]
