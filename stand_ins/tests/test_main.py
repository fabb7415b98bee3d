"""Tests of the command line of the stand-ins."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from gypsumring.settings import load_settings
from gypsumring.utils.testing import make_load_tests
from stand_ins.main import build_executors, build_workers, main
from stand_ins.settings import ExecutorsStandInSettings, WorkersStandInSettings

load_tests = make_load_tests(globals())


def call_with_settings(content, callback):
    """Write settings to a temporary file and return the result of ``callback``."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(content))
        return callback(path)


def test_invalid_settings_exit_with_2():
    """Guard against a stand-in that starts with unknown settings."""
    for command in ("log", "vm-list", "workers", "executors"):
        result = call_with_settings(
            {"wrong": 1},
            lambda path, command=command: CliRunner().invoke(
                main, [command, "--settings", str(path)]
            ),
        )
        assert result.exit_code == 2, result.output
        assert "wrong" in result.output


def test_one_process_serves_many_upstreams():
    """Guard against double runs between upstreams of one process going unrecorded."""
    workers = [
        {"name": f"w{number}", "capacity": {"cpu_millis": 9}} for number in range(3)
    ]
    apps = build_workers(
        call_with_settings(
            {"workers": workers},
            lambda path: load_settings(path, WorkersStandInSettings),
        )
    )
    assert [name for name, _, _ in apps] == ["w0", "w1", "w2"]
    assert len({id(app.state.runs) for _, _, app in apps}) == 1
    executors = [{"name": f"e{number}", "pool": "p"} for number in range(3)]
    apps = build_executors(
        call_with_settings(
            {"executors": executors},
            lambda path: load_settings(path, ExecutorsStandInSettings),
        )
    )
    assert len({id(app.state.runs_by_key) for _, _, app in apps}) == 1
