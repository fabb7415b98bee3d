"""Command line for teams and operators."""

import functools
from typing import Any
from urllib.parse import quote

import click
import msgspec

from gypsumring.cli.accounting import read_log, render_account, summarize
from gypsumring.cli.client import GatewayClient
from gypsumring.cli.exceptions import BadInput, CommandError
from gypsumring.cli.log_files import list_files
from gypsumring.cli.render import render
from gypsumring.cli.tracing import read_job_lines, render_line
from gypsumring.documents import DocumentError, parse_document
from gypsumring.settings import CommandSettings, SettingsError, load_settings
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["cli", "main"]

MAX_INPUT_BYTES = 32 * 1024 * 1024

EXIT_CODES = """
\b
Exit codes: 0 done; 1 no gateway answered; 2 bad input; 3 another operator
published first; 4 refused, nothing changed; 5 outcome unknown, read the state.
"""


class CommandContext:
    """Options and calls that all commands share."""

    __slots__ = ("as_json", "settings_path")

    def __init__(self, settings_path: str | None, as_json: bool):
        self.settings_path = settings_path
        self.as_json = as_json

    def open_client(self) -> GatewayClient:
        """Return a client for the gateways in the settings; raise BadInput."""
        if self.settings_path is None:
            raise BadInput("--settings FILE is required for this command")
        try:
            settings = load_settings(self.settings_path, CommandSettings)
        except SettingsError as error:
            raise BadInput(str(error)) from error
        return GatewayClient(settings)

    def call(self, method: str, path: str, content: bytes = b"") -> Any:
        """Send one call and return its decoded answer; raise CommandError."""
        client = self.open_client()
        try:
            return client.call(method, path, content)
        finally:
            client.close()

    def show(self, value: Any) -> None:
        """Print an answer as JSON or as text."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
            return
        click.echo(render(value))


def report_errors(function):
    """Report a CommandError as one line on standard error and an exit code."""

    @functools.wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            function(*args, **kwargs)
        except CommandError as error:
            click.echo(f"gypsumring: {error}", err=True)
            raise SystemExit(error.exit_code) from None

    return wrapper


def read_input(path: str) -> bytes:
    """Return the content of a file; raise BadInput."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_INPUT_BYTES + 1)
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from error
    if len(content) > MAX_INPUT_BYTES:
        raise BadInput(f"{path}: larger than {MAX_INPUT_BYTES} bytes")
    return content


def parse_file(path: str):
    """Return the document in a file; raise BadInput with the name of the field."""
    try:
        return parse_document(read_input(path))
    except DocumentError as error:
        raise BadInput(f"{path}: {error}") from error


@click.group(epilog=EXIT_CODES, context_settings={"max_content_width": 88})
@click.option("--settings", "settings_path", type=click.Path(), help="Settings file.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
@click.version_option(package_name="gypsumring")
@click.pass_context
def cli(context: click.Context, settings_path: str | None, as_json: bool) -> None:
    """Publish documents, submit jobs and explain why they wait.

    Example: gypsumring --settings command.json status
    """
    context.obj = CommandContext(settings_path, as_json)


@cli.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True))
@click.pass_obj
@report_errors
def trace(context: CommandContext, job_id: str, logs: tuple[str, ...]) -> None:
    """Print the log lines of one job from log files or folders of several nodes.

    Example: gypsumring trace 5c0e7a21d94b36f8 logs/
    """
    lines = read_job_lines(list_files(logs), job_id)
    if not lines:
        raise BadInput(f"{job_id}: no log line names this job")
    if context.as_json:
        context.show(lines)
        return
    for line in lines:
        click.echo(render_line(line))


@cli.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True))
@click.pass_obj
@report_errors
def account(context: CommandContext, logs: tuple[str, ...]) -> None:
    """Break down the time of jobs from log files or folders of all nodes.

    Example: gypsumring account logs/
    """
    log = read_log(list_files(logs))
    if not log.lines:
        raise BadInput("no log line was found")
    result = summarize(log)
    if context.as_json:
        context.show(result)
    else:
        click.echo(render_account(result))


@cli.command()
@click.argument("files", nargs=-1, required=True)
@click.pass_obj
@report_errors
def check(context: CommandContext, files: tuple[str, ...]) -> None:
    """Check documents without publishing them.

    Example: gypsumring check examples/marea-viva/documents/*.json
    """
    paths_by_name: dict[str, str] = {}
    for path in files:
        document = parse_file(path)
        first_path = paths_by_name.setdefault(document.name, path)
        if first_path != path:
            raise BadInput(f"{path}: name: {document.name!r} is also in {first_path}")
    context.show({"checked": sorted(paths_by_name)})


@cli.command()
@click.argument("file")
@click.option(
    "--based-on",
    type=click.IntRange(min=0),
    help="Version that the document is based on; replaces based_on in the file.",
)
@click.pass_obj
@report_errors
def publish(context: CommandContext, file: str, based_on: int | None) -> None:
    """Publish a document, which is in force once the command returns.

    Example: gypsumring --settings command.json publish buyer-portal.json --based-on 3
    """
    document = parse_file(file)
    if based_on is not None:
        document = msgspec.structs.replace(document, based_on=based_on)
    path = f"/documents/{quote(document.name)}"
    context.show(context.call("PUT", path, msgspec.json.encode(document)))


@cli.command()
@click.argument("name")
@click.option("--based-on", type=click.IntRange(min=1), required=True)
@click.pass_obj
@report_errors
def withdraw(context: CommandContext, name: str, based_on: int) -> None:
    """Withdraw a document.

    Example: gypsumring --settings command.json withdraw buyer-portal --based-on 4
    """
    path = f"/documents/{quote(name)}?based_on={based_on}"
    context.show(context.call("DELETE", path))


@cli.command()
@click.argument("file")
@click.pass_obj
@report_errors
def diff(context: CommandContext, file: str) -> None:
    """Show how a document differs from the one in force.

    Example: gypsumring --settings command.json diff buyer-portal.json
    """
    document = parse_file(file)
    answer = context.call("GET", f"/documents/{quote(document.name)}")
    current = answer.get("document", {})
    context.show(
        {"version": answer.get("version"), "changes": compare(current, document)}
    )


def compare(current: dict[str, Any], document: Any) -> list[dict[str, Any]]:
    """Return the fields that differ, with their old and new values."""
    old = flatten(current)
    new = flatten(msgspec.to_builtins(document))
    return [
        {"field": field, "in_force": old.get(field), "new": new.get(field)}
        for field in sorted(set(old) | set(new))
        if field != "based_on" and old.get(field) != new.get(field)
    ]


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return the leaf values of nested objects by their dotted path."""
    if not isinstance(value, dict):
        return {path: value}
    leaves: dict[str, Any] = {}
    for key, item in value.items():
        leaves.update(flatten(item, f"{path}.{key}" if path else key))
    return leaves


@cli.command()
@click.pass_obj
@report_errors
def status(context: CommandContext) -> None:
    """Show the state of the cell as recorded by one gateway.

    Example: gypsumring --settings command.json status
    """
    context.show(context.call("GET", "/status"))


@cli.command()
@click.argument("subject", type=click.Choice(["job", "request", "shard"]))
@click.argument("name")
@click.pass_obj
@report_errors
def explain(context: CommandContext, subject: str, name: str) -> None:
    """Explain a job, a request key (SERVICE:KEY) or a shard.

    Example: gypsumring --settings command.json explain job export-desk/manifests-0412
    """
    context.show(context.call("GET", f"/explain/{subject}/{quote(name)}"))


@cli.group()
def jobs() -> None:
    """Submit, show and cancel jobs."""


@jobs.command()
@click.argument("file")
@click.pass_obj
@report_errors
def submit(context: CommandContext, file: str) -> None:
    """Submit a job; submitting the same job_id again creates no second job.

    Example: gypsumring --settings command.json jobs submit manifest-batch.json
    """
    content = read_input(file)
    try:
        msgspec.json.decode(content)
    except DECODE_ERRORS as error:
        raise BadInput(f"{file}: invalid JSON: {error}") from error
    context.show(context.call("POST", "/jobs", content))


@jobs.command()
@click.argument("team")
@click.argument("job_id")
@click.pass_obj
@report_errors
def show(context: CommandContext, team: str, job_id: str) -> None:
    """Show the state of a job.

    Example: gypsumring --settings command.json jobs show export-desk manifests-0412
    """
    context.show(context.call("GET", f"/jobs/{quote(team)}/{quote(job_id)}"))


@jobs.command()
@click.argument("job_ids", nargs=-1, required=True)
@click.pass_obj
@report_errors
def cancel(context: CommandContext, job_ids: tuple[str, ...]) -> None:
    """Cancel jobs of the team in the settings.

    Example: gypsumring --settings command.json jobs cancel manifests-0412
    """
    content = msgspec.json.encode({"job_ids": list(job_ids)})
    context.show(context.call("POST", "/jobs/cancel", content))


def main() -> None:
    """Run the command line."""
    cli(prog_name="gypsumring")


if __name__ == "__main__":
    main()
