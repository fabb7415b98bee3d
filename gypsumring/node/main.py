"""Command ``gypsumring-node``."""

import asyncio
import os
import sys

import anyio
import click
import hypercorn.config

from gypsumring.door import ConnectionTable, DoorLimits, serve_callers
from gypsumring.metrics import Metrics
from gypsumring.node.app import NodeApp
from gypsumring.node.node import Node
from gypsumring.platform import (
    PlatformPolicyService,
    PlatformStore,
    read_link_mbps,
)
from gypsumring.settings import SettingsError, load_settings
from gypsumring.settings.node import NodeSettings
from gypsumring.transport import HttpClient, LinkTraffic, RelayedClient
from gypsumring.utils.garbage import collect_garbage
from gypsumring.utils.logs import EventLogger, set_up_logs
from gypsumring.utils.signals import SignalQueue, hold_signals, ignore_signals
from gypsumring.utils.stopping import follow_signals
from gypsumring.utils.supervision import log_loop_errors

__all__ = ["main"]

log = EventLogger("main")

BAD_SETTINGS = 2
# Pieces of a body that a connection has read ahead of the application.
MAX_QUEUED_PIECES = 2
SETTINGS_POLL_S = 1.0
# Requests still arrive after a stop signal until the load balancer has noticed that
# the node is not ready.
LAME_DUCK_S = 2.4
# The process exits this long before the platform would kill it.
SHUTDOWN_MARGIN_S = 0.4
# Requests are answered this long before the server closes their connections.
ANSWER_MARGIN_S = 0.2


@click.command()
@click.option(
    "--settings",
    "settings_path",
    envvar="GYPSUMRING_SETTINGS",
    required=True,
    help="JSON settings file.",
)
def main(settings_path: str) -> None:
    """Serve callers and take part in owning the cell until SIGTERM or SIGINT."""
    try:
        settings = load_settings(settings_path, NodeSettings)
    except SettingsError as error:
        click.echo(f"gypsumring-node: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    set_up_logs(settings.log_output)
    signals = hold_signals()
    try:
        anyio.run(run_node, settings, settings_path, signals, backend="asyncio")
    finally:
        ignore_signals()


def reload_settings(path: str, node: Node) -> None:
    """Apply a changed settings file; an invalid file is logged and ignored."""
    try:
        settings = load_settings(path, NodeSettings)
    except SettingsError as error:
        log.error("settings not reloaded", error=str(error))
        return
    needs_restart = node.apply_settings(settings)
    log.info("settings reloaded", need_restart=needs_restart)


async def watch_settings(path: str, node: Node) -> None:
    """Reload the settings when the modification time of the file changes."""
    loaded_mtime_ns = os.stat(path).st_mtime_ns
    while True:
        await anyio.sleep(SETTINGS_POLL_S)
        try:
            current_mtime_ns = os.stat(path).st_mtime_ns
        except OSError as error:
            log.warning("settings file could not be read", error=str(error))
            continue
        if current_mtime_ns != loaded_mtime_ns:
            loaded_mtime_ns = current_mtime_ns
            reload_settings(path, node)


async def run_node(
    settings: NodeSettings, settings_path: str, signals: SignalQueue
) -> None:
    """Run the node and its HTTP server until a stop signal."""
    metrics = Metrics()
    log_loop_errors(metrics.count)
    link_mbps = settings.limits.link_mbps or read_link_mbps(settings.platform_limits)
    traffic = LinkTraffic(metrics, link_mbps)
    policy = None
    if settings.policy_address:
        policy = PlatformPolicyService(settings.policy_address, traffic)
    store_path = RelayedClient(
        HttpClient(settings.store.address, traffic=traffic),
        "path to the store",
        traffic,
    )
    node = Node(
        settings,
        PlatformStore(store_path),
        policy,
        metrics,
        store_path,
        traffic=traffic,
    )
    app = NodeApp(node)
    config = hypercorn.config.Config()
    config.bind = [settings.caller_address, settings.readiness_address]
    if settings.metrics_address:
        config.bind.append(settings.metrics_address)
    shutdown_s = max(1.0, settings.bounds.shutdown_s - SHUTDOWN_MARGIN_S)
    lame_duck_s = min(LAME_DUCK_S, shutdown_s / 2)
    config.graceful_timeout = shutdown_s - lame_duck_s
    config.keep_alive_timeout = settings.door.idle_s
    config.max_app_queue_size = MAX_QUEUED_PIECES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    limits = DoorLimits(settings.limits, settings.door)
    table = ConnectionTable(
        settings.caller_address,
        limits,
        settings.door,
        metrics,
        asyncio.get_running_loop().time,
    )
    stopped = anyio.Event()
    # Set once another node may own the cell, which may be after the last response.
    handed_over = anyio.Event()
    stop_requested = anyio.Event()

    async def stop_node() -> None:
        await stop_requested.wait()
        stop_at = anyio.current_time() + lame_duck_s
        answer_deadline = stop_at + config.graceful_timeout - ANSWER_MARGIN_S
        async with anyio.create_task_group() as stopping:
            stopping.start_soon(node.stop, answer_deadline)
            await anyio.sleep_until(stop_at)
            stopped.set()
        handed_over.set()

    async with anyio.create_task_group() as group:
        group.start_soon(
            follow_signals,
            signals,
            lambda: reload_settings(settings_path, node),
            stop_requested.set,
        )
        group.start_soon(stop_node)
        group.start_soon(watch_settings, settings_path, node)
        group.start_soon(collect_garbage, metrics.record_seconds)
        group.start_soon(node.run)
        log.info("node started", node=settings.node, address=settings.caller_address)
        await serve_callers(app, config, table, stopped.wait)
        await handed_over.wait()
        group.cancel_scope.cancel()
    log.info("node stopped", node=settings.node)
