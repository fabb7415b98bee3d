"""Requests to services: queue, permits, routing, retries and idempotency keys."""

from gypsumring.requests.answers import Answer, Answered, Refused, Unknown
from gypsumring.requests.budget import RetryBudget
from gypsumring.requests.exceptions import OutcomeUnknown, RequestRefused
from gypsumring.requests.granting import SlotGranter
from gypsumring.requests.holding import SlotHolder
from gypsumring.requests.key_client import KeyClient, OwnerCaller
from gypsumring.requests.key_ledger import KeyLedger
from gypsumring.requests.queue import RequestQueue
from gypsumring.requests.routing import (
    LeastLoaded,
    PowerOfTwoChoices,
    RandomRouting,
    Routing,
    parse_routing,
)
from gypsumring.requests.serving import RequestPool, ServiceRequest, serve_request

__all__ = [
    "Answer",
    "Answered",
    "KeyClient",
    "KeyLedger",
    "LeastLoaded",
    "OutcomeUnknown",
    "OwnerCaller",
    "PowerOfTwoChoices",
    "RandomRouting",
    "Refused",
    "RequestPool",
    "RequestQueue",
    "RequestRefused",
    "RetryBudget",
    "Routing",
    "ServiceRequest",
    "SlotGranter",
    "SlotHolder",
    "Unknown",
    "parse_routing",
    "serve_request",
]
