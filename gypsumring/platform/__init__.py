"""Adapters between the platform's wire formats and the ports of the scheduler."""

from gypsumring.platform.desired_state import decode_desired_state
from gypsumring.platform.discovery import decode_executor_entry
from gypsumring.platform.executors import PlatformExecutor
from gypsumring.platform.ingress import (
    decode_submission,
    encode_phase,
    encode_waiting,
    read_account_key,
    read_time_limit_s,
)
from gypsumring.platform.limits import read_link_mbps
from gypsumring.platform.policy import PlatformPolicyService
from gypsumring.platform.store import (
    DESIRED_STATE_KEY,
    DESIRED_STATE_TOPIC,
    EXECUTORS_TOPIC,
    PlatformStore,
)

__all__ = [
    "DESIRED_STATE_KEY",
    "DESIRED_STATE_TOPIC",
    "EXECUTORS_TOPIC",
    "PlatformExecutor",
    "PlatformPolicyService",
    "PlatformStore",
    "decode_desired_state",
    "decode_executor_entry",
    "decode_submission",
    "encode_phase",
    "encode_waiting",
    "read_account_key",
    "read_link_mbps",
    "read_time_limit_s",
]
