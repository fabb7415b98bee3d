"""Transport of messages between the processes of the system."""

from gypsumring.peers.memory import InMemoryPeers
from gypsumring.peers.nng import NngPeerClient, PeerServer

__all__ = ["InMemoryPeers", "NngPeerClient", "PeerServer"]
