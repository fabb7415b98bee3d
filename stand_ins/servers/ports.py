"""TCP ports of the loopback interface for programs that are started by tests."""

import socket

__all__ = ["find_free_port", "hold_free_port"]

HOST = "127.0.0.1"


def find_free_port() -> int:
    """Return a TCP port that was free when it was probed."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def hold_free_port() -> socket.socket:
    """Return a socket that keeps a free port from being chosen by others.

    A process that sets SO_REUSEADDR can still listen on the port.
    """
    held = socket.socket()
    held.bind((HOST, 0))
    # With the option set before, the kernel may choose a port that others hold.
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held
