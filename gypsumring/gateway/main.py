"""Command ``gypsumring-gateway``."""

import random
import sys

import anyio
import click
import hypercorn.config
import hypercorn.trio
import logbook

from gypsumring.adapters import HttpLog, HttpUpstreams, HttpVmList
from gypsumring.gateway.node import GatewayNode
from gypsumring.metrics import Metrics
from gypsumring.peers import NngPeerClient
from gypsumring.requests import parse_routing
from gypsumring.settings import GatewaySettings, SettingsError, load_settings
from gypsumring.utils.logs import set_up_logs
from gypsumring.utils.signals import SignalQueue, hold_signals, ignore_signals
from gypsumring.utils.stopping import follow_signals

__all__ = ["main"]

log = logbook.Logger("gateway")

BAD_SETTINGS = 2
# Connections that each executor accepts from all gateways together.
EXECUTOR_CONNECTIONS = 64
# Requests in flight end by their deadlines; documents allow at most 60 s.
SHUTDOWN_S = 75.0
# An idle or half-sent connection is closed after this time.
IDLE_S = 30.0


@click.command()
@click.option("--settings", "settings_path", required=True, help="JSON settings file.")
def main(settings_path: str) -> None:
    """Serve callers until SIGTERM or SIGINT, then drain and exit with 0."""
    try:
        settings = load_settings(settings_path, GatewaySettings)
        try:
            parse_routing(settings.routing)
        except ValueError as error:
            raise SettingsError(f"{settings_path}: $.routing: {error}") from error
    except SettingsError as error:
        click.echo(f"gypsumring-gateway: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    set_up_logs(settings.log_output)
    signals = hold_signals()
    try:
        anyio.run(run_gateway, settings, signals, backend="trio")
    finally:
        ignore_signals()


async def run_gateway(settings: GatewaySettings, signals: SignalQueue) -> None:
    """Run the node and its HTTP server until a signal has drained them."""
    metrics = Metrics()
    peers = NngPeerClient(settings.node, metrics=metrics)
    share = EXECUTOR_CONNECTIONS // settings.cell.gateway_limit
    node = GatewayNode(
        settings,
        HttpLog(settings.platform.log_url, settings.node, metrics=metrics),
        HttpVmList(settings.platform.vm_list_url, metrics=metrics),
        HttpUpstreams(share, metrics),
        peers,
        metrics,
        random.Random(),
    )
    config = hypercorn.config.Config()
    config.bind = [settings.http_address]
    config.graceful_timeout = SHUTDOWN_S
    config.keep_alive_timeout = IDLE_S
    config.accesslog = None
    config.errorlog = None
    drained = anyio.Event()
    stop_requested = anyio.Event()

    def refuse_reload() -> None:
        log.info("settings are not reloaded; they are read at the start")

    async def stop_node() -> None:
        await stop_requested.wait()
        await node.stop()
        drained.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(node.run)
        task_group.start_soon(
            follow_signals, signals, refuse_reload, stop_requested.set
        )
        task_group.start_soon(stop_node)
        log.info("node {} serves {}", settings.node, settings.http_address)
        await hypercorn.trio.serve(node.app, config, shutdown_trigger=drained.wait)
        task_group.cancel_scope.cancel()
    peers.close()
