"""Tests of the trace of one job from the log lines of several nodes."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from gypsumring.cli.main import cli
from gypsumring.utils.testing import make_load_tests

JOB = "5c0e7a21d94b36f8"


def line(time: str, message: str, **fields) -> str:
    """Return a log line."""
    return json.dumps(
        {"time": time, "level": "INFO", "part": "jobs", "message": message, **fields}
    )


def test_trace_merges_nodes_in_time_order_with_takeovers():
    with tempfile.TemporaryDirectory() as folder:
        first_log = [
            line("T1", "job accepted", job=JOB, tasks=[4]),
            "not a log line {",
            line("T4", "attempts lost", tasks=[f"{JOB}.0.0.1"]),
            line("T9", "cell released", part="cell"),
        ]
        second_log = [
            "12.5 edge-2 " + line("T3", "attempt started", job=JOB, node="edge-2"),
            line("T2", "taking over the cell", part="cell", fence=3),
            line("T2", "job accepted", job="other"),
        ]
        Path(folder, "n1.log").write_text("\n".join(first_log))
        Path(folder, "n2.log").write_text("\n".join(second_log))
        result = CliRunner().invoke(cli, ["trace", JOB, folder])
        assert result.exit_code == 0, result.output
        times = [row.split()[0] for row in result.output.splitlines()]
        assert times == ["T1", "T2", "T3", "T4"]
        assert "edge-2" in result.output
        missing = CliRunner().invoke(cli, ["trace", "0" * 16, folder])
        assert missing.exit_code == 2


load_tests = make_load_tests(globals())
