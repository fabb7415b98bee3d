"""Tests of the command line."""

import contextlib
import json
import tempfile
from pathlib import Path

import httpx
from click.testing import CliRunner

from gypsumring.cli.client import GatewayClient
from gypsumring.cli.exceptions import (
    BadInput,
    CommandError,
    Conflict,
    GatewayUnavailable,
    OutcomeUnknown,
    Refused,
)
from gypsumring.cli.main import cli
from gypsumring.settings import CommandSettings
from gypsumring.utils.testing import make_load_tests

load_tests = make_load_tests(globals())

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS = CommandSettings(gateways=("http://a", "http://b"), team="t", token="secret")


@contextlib.contextmanager
def write_files(**contents):
    """Write files and yield their folder."""
    with tempfile.TemporaryDirectory() as folder:
        for name, content in contents.items():
            data = content if isinstance(content, bytes) else json.dumps(content)
            path = Path(folder) / f"{name}.json"
            path.write_bytes(data if isinstance(data, bytes) else data.encode())
        yield Path(folder)


def make_document(**changes):
    """Return a valid document with changes."""
    document = {
        "name": "stock-checks",
        "team": "sales",
        "work": {"type": "requests", "pool": "live", "repeatable": True},
    }
    return document | changes


def run(*arguments):
    """Run the command line and return the result."""
    return CliRunner().invoke(cli, [str(argument) for argument in arguments])


def call(handler, method="PUT"):
    """Return the answer or error of one call with a fake transport."""
    client = GatewayClient(SETTINGS, httpx.MockTransport(handler))
    return client.call(method, "/documents/x", b"{}")


def call_expecting_error(handler, method="PUT"):
    """Return the error that one call with a fake transport raises."""
    try:
        call(handler, method)
    except CommandError as error:
        return error
    raise AssertionError("the call succeeded")


def answer_with(status):
    """Return a handler that answers with a status and a reason."""
    return lambda request: httpx.Response(status, json={"reason": "some_reason"})


def test_examples_are_valid():
    """Guard against example documents that the checker refuses."""
    for deployment in ("marea-viva", "clyde-basin"):
        paths = sorted((EXAMPLES / deployment / "documents").glob("*.json"))
        result = run("check", *paths)
        assert result.exit_code == 0, result.output


def test_bad_documents_name_the_field_and_exit_with_2():
    """Guard against a bad document that is accepted, or refused without its field."""
    bad = {
        "type": (make_document(work=3), "$.work"),
        "unknown": (make_document(colour="red"), "colour"),
        "negative": (make_document(based_on=-1), "$.based_on"),
        "syntax": (b"{", "JSON"),
        "large": (b"[" * 10_000_000, "bytes"),
    }
    for name, (content, expected) in bad.items():
        with write_files(document=content) as folder:
            result = run("check", folder / "document.json")
        assert result.exit_code == 2, name
        assert expected in result.output, (name, result.output)
        assert len(result.output.splitlines()) == 1, (name, result.output)


def test_two_documents_with_the_same_name_are_refused():
    """Guard against two documents of which one would replace the other."""
    with write_files(one=make_document(), two=make_document()) as folder:
        result = run("check", folder / "one.json", folder / "two.json")
    assert result.exit_code == 2
    assert "name" in result.output


def test_bad_settings_exit_with_2():
    """Guard against settings that are used although a field is invalid."""
    with write_files(settings={"gateways": [1]}) as folder:
        result = run("--settings", folder / "settings.json", "status")
    assert result.exit_code == 2
    assert "$.gateways[0]" in result.output


def test_next_gateway_is_used_only_if_nothing_was_sent():
    """Guard against a change that is sent to a second gateway after a lost answer."""
    contacted_hosts = []

    def refuse_first(request):
        contacted_hosts.append(request.url.host)
        if request.url.host == "a":
            raise httpx.ConnectError("refused")
        return httpx.Response(200, json={"version": 1})

    assert call(refuse_first) == {"version": 1}
    assert contacted_hosts == ["a", "b"]
    contacted_hosts.clear()

    def lose_answer(request):
        contacted_hosts.append(request.url.host)
        raise httpx.ReadTimeout("no answer")

    assert type(call_expecting_error(lose_answer)) is OutcomeUnknown
    assert contacted_hosts == ["a"]


def test_statuses_map_to_exit_codes():
    """Guard against scripts that cannot distinguish a conflict from a refusal."""
    cases = {
        400: BadInput,
        404: BadInput,
        409: Conflict,
        503: Refused,
        504: OutcomeUnknown,
    }
    codes = set()
    for status, kind in cases.items():
        error = call_expecting_error(answer_with(status))
        assert type(error) is kind
        assert "some_reason" in str(error)
        codes.add(error.exit_code)
    assert codes == {2, 3, 4, 5}


def test_token_is_sent_but_never_printed():
    """Guard against a token that appears in an error message."""

    def check_header(request):
        assert request.headers["authorization"] == "Bearer secret"
        raise httpx.ConnectError("refused")

    error = call_expecting_error(check_header)
    assert type(error) is GatewayUnavailable
    assert "secret" not in str(error)
