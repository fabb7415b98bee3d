"""Documents of teams: model, validation, publication and the store in force."""

from gypsumring.documents.exceptions import (
    DocumentError,
    NotAccepted,
    VersionConflict,
)
from gypsumring.documents.model import (
    BatchRuns,
    Document,
    DocumentInForce,
    DocumentLookup,
    GangRuns,
    Replicas,
    RequestHandling,
    TaskTemplate,
)
from gypsumring.documents.parsing import (
    MAX_DOCUMENT_BYTES,
    diff_documents,
    parse_document,
)
from gypsumring.documents.store import DocumentStore

__all__ = [
    "BatchRuns",
    "Document",
    "DocumentError",
    "DocumentInForce",
    "DocumentLookup",
    "DocumentStore",
    "GangRuns",
    "MAX_DOCUMENT_BYTES",
    "NotAccepted",
    "Replicas",
    "RequestHandling",
    "TaskTemplate",
    "VersionConflict",
    "diff_documents",
    "parse_document",
]
