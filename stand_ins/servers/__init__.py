"""HTTP servers of the platform stand-ins."""

from stand_ins.servers.apps import ExecutorApp, LogApp, VmListApp, WorkerApp
from stand_ins.servers.serving import (
    address_of,
    bind_socket,
    serve_apps,
    serve_on_socket,
)

__all__ = [
    "ExecutorApp",
    "LogApp",
    "VmListApp",
    "WorkerApp",
    "address_of",
    "bind_socket",
    "serve_apps",
    "serve_on_socket",
]
