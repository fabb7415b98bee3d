"""Command ``gypsumring-node``."""

import signal
import sys

import anyio
import click
import hypercorn.asyncio
import hypercorn.config

from gypsumring.metrics import Metrics
from gypsumring.node.app import NodeApp
from gypsumring.node.node import Node
from gypsumring.platform import PlatformPolicyService, PlatformStore
from gypsumring.settings import SettingsError, load_settings
from gypsumring.settings.node import NodeSettings
from gypsumring.utils.logs import EventLogger, set_up_logs

__all__ = ["main"]

log = EventLogger("main")

BAD_SETTINGS = 2
KEEP_ALIVE_S = 120
# After a stop signal new callers still come until the balancer has noticed.
LAME_DUCK_S = 2.6
HTTP_SHUTDOWN_S = 2.0


@click.command()
@click.option(
    "--settings",
    "settings_path",
    envvar="GYPSUMRING_SETTINGS",
    required=True,
    help="JSON settings file.",
)
def main(settings_path: str) -> None:
    """Serve callers and own the cell in turn until SIGTERM or SIGINT."""
    try:
        settings = load_settings(settings_path, NodeSettings)
    except SettingsError as error:
        click.echo(f"gypsumring-node: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    set_up_logs(settings.log_output)
    anyio.run(run_node, settings, backend="asyncio")


async def run_node(settings: NodeSettings) -> None:
    """Run the node and its HTTP server until a signal."""
    metrics = Metrics()
    policy = None
    if settings.policy_address:
        policy = PlatformPolicyService(settings.policy_address)
    node = Node(settings, PlatformStore(settings.store.address), policy, metrics)
    app = NodeApp(node)
    config = hypercorn.config.Config()
    config.bind = [settings.caller_address, settings.readiness_address]
    if settings.metrics_address:
        config.bind.append(settings.metrics_address)
    config.graceful_timeout = HTTP_SHUTDOWN_S
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    stopped = anyio.Event()

    async def stop_on_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log.info("stop signal received")
                await node.stop()
                await anyio.sleep(LAME_DUCK_S)
                stopped.set()
                return

    async with anyio.create_task_group() as group:
        group.start_soon(stop_on_signal)
        group.start_soon(node.run)
        log.info("node started", node=settings.node, address=settings.caller_address)
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stopped.wait)
        group.cancel_scope.cancel()
    log.info("node stopped", node=settings.node)
