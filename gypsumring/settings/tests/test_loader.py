"""Tests of loading settings files."""

import contextlib
import json
import tempfile
from pathlib import Path

import msgspec

from gypsumring.settings import CommandSettings, SettingsError, load_settings
from gypsumring.settings.node import NodeSettings, PeerPorts
from gypsumring.utils.testing import make_load_tests

load_tests = make_load_tests(globals())


@contextlib.contextmanager
def temporary_settings_file(content):
    """Write content to a temporary file and yield its path."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.json"
        path.write_bytes(content)
        yield path


def read_error(content):
    """Load invalid settings and return the text of the error."""
    with temporary_settings_file(content) as path:
        try:
            load_settings(path, CommandSettings)
        except SettingsError as error:
            return str(error)
    raise AssertionError("the settings were accepted")


def test_preemption_of_a_node_is_checked():
    """Guard against a misspelt value that would leave the default in force."""
    content = {
        "node": "n",
        "data_centre": "d",
        "region": "r",
        "caller_address": "127.0.0.1:1",
        "readiness_address": "127.0.0.1:2",
        "peer_host": "h",
        "peer_ports": [3],
        "store": {"address": "127.0.0.1:4"},
        "bounds": {"longest_lease_ms": 1000},
    }
    with temporary_settings_file(json.dumps(content).encode()) as path:
        assert load_settings(path, NodeSettings).preemption == "accounts"
    content["preemption"] = "of"
    with temporary_settings_file(json.dumps(content).encode()) as path:
        try:
            load_settings(path, NodeSettings)
        except SettingsError as error:
            assert "$.preemption" in str(error)
        else:
            raise AssertionError("the settings were accepted")


def test_valid_settings_are_loaded():
    """Guard against a loader that drops fields."""
    content = json.dumps({"gateways": ["http://127.0.0.1:1"], "team": "marea"})
    with temporary_settings_file(content.encode()) as path:
        assert load_settings(path, CommandSettings).team == "marea"


def test_errors_name_the_field():
    """Guard against invalid settings that are accepted or reported without a path."""
    assert "$.timeout_ms" in read_error(b'{"gateways": ["x"], "timeout_ms": -1}')
    assert "$.gateways[0]" in read_error(b'{"gateways": [3]}')
    assert "colour" in read_error(b'{"gateways": ["x"], "colour": 1}')
    assert "JSON" in read_error(b"{")
    assert "larger than" in read_error(b" " * 10_000_000)
    assert "settings.json" in read_error(b"\xff\xfe")


def test_nested_settings_are_refused():
    """Guard against a reload that ends the process with RecursionError."""
    nested = b"[" * 100_000 + b"]" * 100_000
    assert read_error(nested)
    assert read_error(b'{"gateways":[],"team":"a","x":' + nested + b"}")


def test_ports_out_of_range_are_refused():
    """Guard against a node that ends when it listens on a port out of range."""
    for port in ("0", "65536", "1" + "0" * 400):
        try:
            msgspec.json.decode(f"[{port}]", type=PeerPorts)
        except msgspec.ValidationError:
            continue
        raise AssertionError(f"accepted: {port}")
