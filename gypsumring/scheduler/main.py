"""Command ``gypsumring-scheduler``."""

import random
import sys

import anyio
import click
import hypercorn.config
import hypercorn.trio
import logbook
import pynng

from gypsumring.adapters import HttpLog, HttpUpstreams, HttpVmList
from gypsumring.metrics import Metrics
from gypsumring.peers import NngPeerClient, PeerServer
from gypsumring.scheduler.app import SchedulerApp
from gypsumring.scheduler.node import SchedulerNode
from gypsumring.settings import SchedulerSettings, SettingsError, load_settings
from gypsumring.utils.logs import set_up_logs
from gypsumring.utils.signals import SignalQueue, hold_signals, ignore_signals
from gypsumring.utils.stopping import follow_signals

__all__ = ["main"]

log = logbook.Logger("scheduler")

BAD_SETTINGS = 2
# A scheduler sends no requests to executors; it only asks them for their status.
EXECUTOR_CONNECTIONS = 1
HTTP_SHUTDOWN_S = 2.0


@click.command()
@click.option("--settings", "settings_path", required=True, help="JSON settings file.")
def main(settings_path: str) -> None:
    """Own shards until SIGTERM or SIGINT, then hand them off and exit with 0."""
    try:
        settings = load_settings(settings_path, SchedulerSettings)
        if settings.region not in settings.cell.regions:
            raise SettingsError(
                f"{settings_path}: $.region: {settings.region!r} is not in $.cell"
            )
    except SettingsError as error:
        click.echo(f"gypsumring-scheduler: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    set_up_logs(settings.log_output)
    signals = hold_signals()
    try:
        anyio.run(run_scheduler, settings, signals, backend="trio")
    finally:
        ignore_signals()


async def run_scheduler(settings: SchedulerSettings, signals: SignalQueue) -> None:
    """Run the node, its peer server and its HTTP server until a signal."""
    metrics = Metrics()
    peers = NngPeerClient(settings.node, metrics=metrics)
    node = SchedulerNode(
        settings,
        HttpLog(settings.platform.log_url, settings.node, metrics=metrics),
        HttpVmList(settings.platform.vm_list_url, metrics=metrics),
        HttpUpstreams(EXECUTOR_CONNECTIONS, metrics),
        peers,
        metrics,
        random.Random(),
    )
    server = PeerServer(
        settings.peer_address,
        node.handle,
        incarnation=node.incarnation,
        metrics=metrics,
    )
    try:
        server.listen()
        node.note_listening()
    except pynng.NNGException as error:
        click.echo(
            f"gypsumring-scheduler: $.peer_address: {settings.peer_address}: {error}",
            err=True,
        )
        sys.exit(BAD_SETTINGS)
    config = hypercorn.config.Config()
    config.bind = [settings.http_address]
    config.graceful_timeout = HTTP_SHUTDOWN_S
    config.accesslog = None
    config.errorlog = None
    stopped = anyio.Event()
    stop_requested = anyio.Event()

    def refuse_reload() -> None:
        log.info("settings are not reloaded; they are read at the start")

    async def stop_node() -> None:
        await stop_requested.wait()
        await node.stop()
        stopped.set()

    async with anyio.create_task_group() as group:
        group.start_soon(follow_signals, signals, refuse_reload, stop_requested.set)
        group.start_soon(stop_node)
        group.start_soon(server.run)
        group.start_soon(node.run)
        log.info("node {} answers peers at {}", settings.node, server.address)
        await hypercorn.trio.serve(
            SchedulerApp(node), config, shutdown_trigger=stopped.wait
        )
        group.cancel_scope.cancel()
    peers.close()
