"""Command line of the stand-ins."""

import random
import signal
import sys
from collections.abc import Callable

import anyio
import click

from gypsumring.settings import SettingsError, load_settings
from stand_ins.servers import (
    ExecutorApp,
    LogApp,
    VmListApp,
    WorkerApp,
    address_of,
    bind_socket,
    serve_on_socket,
)
from stand_ins.settings import (
    ExecutorsStandInSettings,
    LogStandInSettings,
    VmListStandInSettings,
    WorkersStandInSettings,
)
from stand_ins.state import (
    ExecutorState,
    LogState,
    TaskRuns,
    VmListState,
    WorkerState,
)

__all__ = ["build_executors", "build_log", "build_vm_list", "build_workers", "main"]

SettingsOption = click.option(
    "--settings", "path", required=True, help="JSON settings file."
)

# Names, addresses and ASGI apps.
NamedApps = list[tuple[str, str, Callable]]


def build_log(settings: LogStandInSettings) -> NamedApps:
    """Build the app of the log."""
    state = LogState(
        settings.max_records, settings.max_age_ms / 1000, settings.appends_per_s
    )
    app = LogApp(state, random.Random(settings.seed))
    return [("log", settings.address, app)]


def build_vm_list(settings: VmListStandInSettings) -> NamedApps:
    """Build the app of the VM list."""
    state = VmListState(list(settings.vms), settings.lag_ms / 1000)
    app = VmListApp(state, random.Random(settings.seed))
    return [("vm-list", settings.address, app)]


def build_workers(settings: WorkersStandInSettings) -> NamedApps:
    """Build the apps of the workers, which share one record of task runs."""
    runs = TaskRuns()
    return [
        (
            worker.name,
            worker.address,
            WorkerApp(
                WorkerState(
                    worker.name,
                    worker.capacity,
                    worker.data_centre,
                    worker.rack,
                    worker.clock_offset_ms / 1000,
                    worker.usage_lag_ms / 1000,
                    runs,
                ),
                random.Random(f"{settings.seed}/{worker.name}"),
            ),
        )
        for worker in settings.workers
    ]


def build_executors(settings: ExecutorsStandInSettings) -> NamedApps:
    """Build the apps of the executors, which share the records of runs."""
    runs_by_request, runs_by_key = {}, {}
    apps = []
    for executor in settings.executors:
        random_source = random.Random(f"{settings.seed}/{executor.name}")
        state = ExecutorState(
            executor.name,
            random_source,
            executor.pool,
            executor.slots,
            executor.connections,
            executor.run_ms,
            runs_by_request,
            runs_by_key,
        )
        app = ExecutorApp(state, random_source)
        apps.append((executor.name, executor.address, app))
    return apps


async def serve_all(apps: NamedApps) -> None:
    """Serve apps until SIGTERM or SIGINT; print the address of every app."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for name, address, app in apps:
            listener = bind_socket(address)
            print(f"{name} {address_of(listener)}", flush=True)
            tasks.start_soon(serve_on_socket, app, listener, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                break


def run_stand_in(path: str, kind: type, build: Callable) -> None:
    """Load settings and serve the apps; exit with 2 if the settings are invalid."""
    try:
        settings = load_settings(path, kind)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    anyio.run(serve_all, build(settings))


@click.group()
def main() -> None:
    """Run stand-ins of the platform for tests and demos."""


@main.command()
@SettingsOption
def log(path: str) -> None:
    """Run the log."""
    run_stand_in(path, LogStandInSettings, build_log)


@main.command("vm-list")
@SettingsOption
def vm_list(path: str) -> None:
    """Run the VM list."""
    run_stand_in(path, VmListStandInSettings, build_vm_list)


@main.command()
@SettingsOption
def workers(path: str) -> None:
    """Run workers, each on its own port."""
    run_stand_in(path, WorkersStandInSettings, build_workers)


@main.command()
@SettingsOption
def executors(path: str) -> None:
    """Run executors, each on its own port."""
    run_stand_in(path, ExecutorsStandInSettings, build_executors)
