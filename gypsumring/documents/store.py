"""Fold of the config stream: the documents in force, and their publication."""

import random
from collections import OrderedDict
from collections.abc import Callable

import anyio
import logbook
import msgspec

from gypsumring.documents.exceptions import (
    DocumentError,
    NotAccepted,
    VersionConflict,
)
from gypsumring.documents.model import DocumentInForce
from gypsumring.documents.parsing import diff_documents, parse_document
from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.records import (
    ConfigSnapshot,
    DocumentPublished,
    DocumentWithdrawn,
    Record,
)
from gypsumring.metrics import Metrics, RefusalReason
from gypsumring.settings import TimingSettings
from gypsumring.streams import AppendUnconfirmed, Stream
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.snapshots import SnapshotReader, append_snapshot, split_state

__all__ = ["DocumentStore", "StoredDocument"]

logger = logbook.Logger("documents")

SNAPSHOT_PREFIX = "config-"
SNAPSHOT_CHECK_S = 5.0
# The log keeps a limited number of records for a limited time. Snapshots at these
# intervals leave several chances before the oldest one is dropped.
SNAPSHOT_EVERY_RECORDS = 500
SNAPSHOT_EVERY_S = 600.0
# Verdicts on own publications wait only for the task that appended them.
MAX_VERDICTS = 1024

Publication = DocumentPublished | DocumentWithdrawn
Listener = Callable[[str, DocumentInForce | None], None]


class StoredDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold the last valid publication of a name; no content means withdrawn."""

    name: str
    team: str
    version: int
    offset: int
    published_by: str
    content: bytes | None


stored_decoder = msgspec.msgpack.Decoder(list[StoredDocument])


class DocumentStore:
    """Keep the documents in force.

    The state is a function of the records alone. The first team to publish a name
    owns it for good, and versions of a name only grow, also across a withdrawal: a
    late record can therefore never become valid after it was found to be invalid.

    ``is_snapshot_writer`` tells whether this node appends snapshots; the host chooses
    one node. Two writers at a time cost bytes but no correctness.
    """

    __slots__ = (
        "documents",
        "is_snapshot_writer",
        "listeners",
        "metrics",
        "offset_in_force",
        "peer_offsets",
        "random_source",
        "reader",
        "snapshot_every_records",
        "snapshot_every_s",
        "stored",
        "stream",
        "timing",
        "verdicts",
    )

    def __init__(
        self,
        stream: Stream,
        metrics: Metrics,
        timing: TimingSettings,
        random_source: random.Random,
        is_snapshot_writer: Callable[[], bool] = lambda: False,
        snapshot_every_records: int = SNAPSHOT_EVERY_RECORDS,
        snapshot_every_s: float = SNAPSHOT_EVERY_S,
    ):
        self.stream = stream
        self.metrics = metrics
        self.timing = timing
        self.random_source = random_source
        self.is_snapshot_writer = is_snapshot_writer
        self.snapshot_every_records = snapshot_every_records
        self.snapshot_every_s = snapshot_every_s
        self.stored: dict[str, StoredDocument] = {}
        self.documents: dict[str, DocumentInForce] = {}
        self.offset_in_force = -1
        self.peer_offsets: dict[str, int] = {}
        self.listeners: list[Listener] = []
        self.verdicts: OrderedDict[tuple[int, Publication], bool] = OrderedDict()
        self.reader = SnapshotReader(
            SNAPSHOT_PREFIX, self.load_snapshot, self.apply_publication
        )
        stream.subscribe(self.apply, self.handle_gap)

    # --- reading ----------------------------------------------------------------

    def get(self, name: str) -> DocumentInForce | None:
        """Return the document of a service."""
        return self.documents.get(name)

    def list_documents(self) -> list[DocumentInForce]:
        """Return all documents in force, in the order of their names."""
        return [self.documents[name] for name in sorted(self.documents)]

    def version_of(self, name: str) -> int:
        """Return the last version of a name, 0 if it was never published."""
        stored = self.stored.get(name)
        return 0 if stored is None else stored.version

    def diff(self, content: bytes) -> list[tuple[str, object, object]]:
        """Compare a new document with the one in force; raise DocumentError."""
        document = parse_document(content)
        in_force = self.documents.get(document.name)
        return diff_documents(in_force and in_force.document, document)

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener(name, document or None)`` after each change."""
        self.listeners.append(listener)

    # --- fold -------------------------------------------------------------------

    def apply(self, offset: int, record: Record) -> None:
        """Fold one record."""
        self.reader.feed(offset, record)
        if not self.reader.waits_for_snapshot:
            self.move_to(max(offset, self.offset_in_force))

    def handle_gap(self, first_offset: int) -> None:
        """Wait for a snapshot, as records before ``first_offset`` are dropped."""
        if first_offset <= self.offset_in_force + 1:
            return
        logger.warning(
            "config stream starts at offset {}; waiting for a snapshot", first_offset
        )
        self.reader.start_gap(first_offset)

    def apply_publication(self, offset: int, record: Record) -> None:
        """Put a valid publication or withdrawal in force and ignore others."""
        body = record.body
        valid = self.is_valid(body)
        self.verdicts.setdefault((offset, body), valid)
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)
        if not valid:
            self.metrics.count("documents.records_ignored")
            return
        content = body.document if isinstance(body, DocumentPublished) else None
        self.put(
            StoredDocument(
                body.name,
                body.team,
                body.based_on + 1,
                offset,
                body.published_by,
                content,
            )
        )

    def is_valid(self, body: Publication) -> bool:
        """Tell whether a publication follows the state in force."""
        stored = self.stored.get(body.name)
        version = 0 if stored is None else stored.version
        if body.based_on != version or (stored and stored.team != body.team):
            return False
        if isinstance(body, DocumentWithdrawn):
            return stored is not None and stored.content is not None
        try:
            document = parse_document(body.document)
        except DocumentError:
            return False
        return (document.name, document.team, document.based_on) == (
            body.name,
            body.team,
            body.based_on,
        )

    def put(self, stored: StoredDocument) -> None:
        """Store one publication and tell the listeners."""
        previous = self.stored.get(stored.name)
        if previous is not None and previous.version >= stored.version:
            raise InvariantViolation(
                f"document {stored.name!r} would go back from version "
                f"{previous.version} to {stored.version}"
            )
        self.stored[stored.name] = stored
        if stored.content is None:
            self.documents.pop(stored.name, None)
        else:
            self.documents[stored.name] = DocumentInForce(
                parse_document(stored.content), stored.version, stored.offset
            )
        for listener in self.listeners:
            listener(stored.name, self.documents.get(stored.name))

    def move_to(self, offset: int) -> None:
        """Set the offset in force, which never decreases."""
        if offset < self.offset_in_force:
            raise InvariantViolation(
                f"configuration would go back from offset {self.offset_in_force} "
                f"to {offset}"
            )
        self.offset_in_force = offset

    # --- state of peers and snapshots ---------------------------------------------

    def export_state(self) -> tuple[int, bytes]:
        """Return the next offset to fold and the encoded state before it."""
        state = [self.stored[name] for name in sorted(self.stored)]
        return self.offset_in_force + 1, msgspec.msgpack.encode(state)

    def import_state(self, covers_offset: int, state: bytes) -> bool:
        """Take over a peer's state if it is newer; tell whether it was.

        Raise DocumentError when the state cannot be decoded.
        """
        if covers_offset <= self.offset_in_force + 1:
            return False
        self.load_snapshot(covers_offset, state)
        if self.reader.waits_for_snapshot:
            self.reader.end_gap(covers_offset)
        return True

    def load_snapshot(self, covers_offset: int, state: bytes) -> None:
        """Replace the state by a newer one; raise DocumentError if it is malformed."""
        try:
            loaded = stored_decoder.decode(state)
        except DECODE_ERRORS as error:
            raise DocumentError(f"$: malformed snapshot: {error}") from error
        self.move_to(covers_offset - 1)
        by_name = {stored.name: stored for stored in loaded}
        for name in sorted(self.stored):
            if name not in by_name or by_name[name].version < self.stored[name].version:
                raise InvariantViolation(
                    f"snapshot at offset {covers_offset} loses version "
                    f"{self.stored[name].version} of document {name!r}"
                )
        for stored in loaded:
            if self.version_of(stored.name) < stored.version:
                self.put(stored)

    def note_peer_offset(self, node: str, offset: int) -> None:
        """Record the offset in force that a peer reported."""
        self.peer_offsets[node] = max(offset, self.peer_offsets.get(node, -1))

    def is_fresh(self) -> bool:
        """Tell whether this node may serve on its configuration.

        It may not while its state is incomplete, or when it has not read up to the end
        of the log within ``staleness_ms`` and a peer is known to be ahead of it.
        """
        if self.reader.waits_for_snapshot or not self.has_state():
            return False
        if self.log_answered_within(self.timing.staleness_ms / 1000):
            return True
        return all(
            offset <= self.offset_in_force for offset in self.peer_offsets.values()
        )

    def has_state(self) -> bool:
        """Tell whether any state was read, from the log or from a peer."""
        return self.offset_in_force >= 0 or self.stream.fresh_at >= 0

    def log_answered_within(self, seconds: float) -> bool:
        """Tell whether the stream was read to its end within ``seconds``."""
        return anyio.current_time() - self.stream.fresh_at <= seconds

    async def run(self) -> None:
        """Append snapshots ahead of the retention limit until cancelled."""
        started_at = anyio.current_time()
        while True:
            await anyio.sleep(SNAPSHOT_CHECK_S)
            if self.is_snapshot_writer() and self.reader.is_due(
                started_at, self.snapshot_every_records, self.snapshot_every_s
            ):
                await self.append_snapshot()

    async def append_snapshot(self) -> bool:
        """Append the state in parts; tell whether all parts were read back."""
        covers_offset, state = self.export_state()
        snapshot_id = f"{SNAPSHOT_PREFIX}{self.random_source.getrandbits(64):016x}"
        parts = split_state(ConfigSnapshot, snapshot_id, covers_offset, state)
        return await append_snapshot(self.stream, parts, 0, self.metrics, "documents")

    # --- publication ----------------------------------------------------------------

    async def publish(
        self, team: str, content: bytes, deadline: float, published_by: str = ""
    ) -> int:
        """Publish a document and return its version once it is read back as valid.

        Raise DocumentError, VersionConflict or NotAccepted.
        """
        document = parse_document(content)
        if document.team != team:
            raise DocumentError(f"document of team {document.team!r} - at `$.team`")
        return await self.append_publication(
            DocumentPublished(
                team, document.name, document.based_on, content, published_by
            ),
            deadline,
        )

    async def withdraw(
        self,
        team: str,
        name: str,
        based_on: int,
        deadline: float,
        published_by: str = "",
    ) -> int:
        """Withdraw a document and return the version of the withdrawal.

        Raise VersionConflict or NotAccepted.
        """
        return await self.append_publication(
            DocumentWithdrawn(team, name, based_on, published_by), deadline
        )

    async def append_publication(self, body: Publication, deadline: float) -> int:
        """Append a publication that is valid now and judge it by its read-back."""
        # A record is sent only while the log answers, so that most publications in
        # an outage are known to have no effect.
        while self.reader.waits_for_snapshot or not self.log_answered_within(
            self.timing.lease_ms / 1000
        ):
            if anyio.current_time() >= deadline:
                self.metrics.refuse("documents", RefusalReason.LOG_UNAVAILABLE)
                raise NotAccepted(body.name, may_take_effect=False)
            await anyio.sleep(min(0.1, max(0.0, deadline - anyio.current_time())))
        if not self.is_valid(body):
            raise self.conflict(body)
        try:
            receipt = await self.stream.append([body], epoch=0, deadline=deadline)
        except AppendUnconfirmed as error:
            if any(self.verdicts[key] for key in self.verdicts if key[1] == body):
                return body.based_on + 1
            if self.version_of(body.name) != body.based_on:
                # A late record of this publication cannot become valid any more.
                raise self.conflict(body) from error
            self.metrics.refuse("documents", RefusalReason.LOG_UNAVAILABLE)
            raise NotAccepted(body.name, may_take_effect=error.sent) from error
        if not self.verdicts.get((receipt.offset, body), False):
            raise self.conflict(body)
        return body.based_on + 1

    def conflict(self, body: Publication) -> VersionConflict:
        """Return the error that names the version in force."""
        self.metrics.refuse("documents", RefusalReason.VERSION_CONFLICT)
        stored = self.stored.get(body.name)
        return VersionConflict(
            body.name,
            body.based_on,
            0 if stored is None else stored.version,
            "" if stored is None else stored.team,
            "" if stored is None else stored.published_by,
        )
