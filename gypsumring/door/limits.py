"""Parts of a machine's memory and descriptors that callers may use."""

from gypsumring.settings.node import DoorSettings, MachineLimits

__all__ = [
    "BODY_COST",
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "RECEIVING_BYTES",
    "DoorLimits",
]

BYTES_PER_MB = 1024 * 1024
# Memory of an open connection without what it has sent.
CONNECTION_BYTES = 40 * 1024
# Memory of a header field beside its text.
FIELD_BYTES = 400
# Memory of what was received of a body and is not yet with the application.
RECEIVING_BYTES = 48 * 1024
# Memory of a byte of a body while the body is read.
BODY_COST = 1.5
# The platform keeps these back for files.
FILE_DESCRIPTORS = 200
# An internal address has few clients: the platform and the collector of metrics.
INTERNAL_SHARE = 1 / 32
# Each node has a channel to the owner of the cell, up to several hundred.
PEER_SHARE = 1 / 4
# Memory for messages of channels whose other end has not said which node it is.
OPENING_SHARE = 1 / 16


class DoorLimits:
    """Limits of memory in bytes, and of connections by kind of address."""

    __slots__ = (
        "caller_connections",
        "internal_connections",
        "memory_bytes",
        "opening_bytes",
        "peer_channels",
    )

    def __init__(self, machine: MachineLimits, settings: DoorSettings):
        self.memory_bytes = int(
            machine.memory_mb * BYTES_PER_MB * settings.memory_share
        )
        self.opening_bytes = int(machine.memory_mb * BYTES_PER_MB * OPENING_SHARE)
        sockets = machine.descriptors - FILE_DESCRIPTORS
        self.caller_connections = max(1, int(sockets * settings.connection_share))
        self.internal_connections = max(8, int(sockets * INTERNAL_SHARE))
        self.peer_channels = max(16, int(sockets * PEER_SHARE))
