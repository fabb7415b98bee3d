"""Settings of the programs; the key of every duration ends in its unit."""

from typing import Annotated

import msgspec

from gypsumring.messages.work import Resources

__all__ = [
    "CellSettings",
    "CommandSettings",
    "GatewaySettings",
    "LogOutputSettings",
    "PlatformSettings",
    "SchedulerSettings",
    "TeamSettings",
    "TimingSettings",
]

Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
SocketAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class TeamSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Quota, share and token digest of a team.

    ``token_sha256`` is the hexadecimal SHA-256 of the token. A team with a quota of 0
    cores or 0 memory cannot run tasks.
    """

    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    quota: Resources
    share: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1


class CellSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a cell; they are the same in all processes of the cell."""

    name: Name
    regions: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    ledgers_per_region: Annotated[int, msgspec.Meta(ge=1, le=256)] = 16
    packing_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    gateway_limit: Annotated[int, msgspec.Meta(ge=1, le=64)] = 9
    teams: dict[str, TeamSettings] = {}

    @property
    def ledgers(self) -> tuple[str, ...]:
        """Names of all ledger shards, in a fixed order."""
        return tuple(
            f"ledger/{region}/{number:02d}"
            for region in self.regions
            for number in range(self.ledgers_per_region)
        )


class TimingSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Durations that the protocols use, in milliseconds."""

    lease_ms: Milliseconds = 4_000
    renew_ms: Milliseconds = 1_000
    margin_ms: Milliseconds = 200
    promise_ms: Milliseconds = 2_000
    heartbeat_ms: Milliseconds = 500
    claim_stagger_ms: Milliseconds = 300
    start_window_ms: Milliseconds = 500
    task_lease_ms: Milliseconds = 30_000
    task_renew_ms: Milliseconds = 8_000
    unlisted_renew_ms: Milliseconds = 60_000
    slot_renew_ms: Milliseconds = 2_000
    slot_extra_ms: Milliseconds = 8_000
    vm_list_poll_ms: Milliseconds = 500
    staleness_ms: Milliseconds = 10_000
    drain_notice_ms: Milliseconds = 1_000
    call_ms: Milliseconds = 1_000
    # Pause between reads, so that one HTTP call returns the renewals of several nodes.
    control_pause_ms: Milliseconds = 100

    @property
    def idle_poll_ms(self) -> int:
        """Long-poll time for reads of ``config`` or a ledger, in milliseconds.

        A stream counts as answered while its last read was sent within one lease. On
        an idle stream the last answered read may have been sent two polls ago, so the
        poll time is a third of the lease.
        """
        return max(1, self.lease_ms // 3)

    def __post_init__(self) -> None:
        # A lease covers two renewals, so that an owner keeps it if one renewal is lost.
        if self.lease_ms < 2 * self.renew_ms + self.margin_ms:
            raise ValueError("lease_ms must be at least 2 * renew_ms + margin_ms")
        if self.task_lease_ms < 2 * self.task_renew_ms + self.lease_ms:
            raise ValueError(
                "task_lease_ms must be at least 2 * task_renew_ms + lease_ms"
            )


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """URLs of the platform's services."""

    log_url: str
    vm_list_url: str


class LogOutputSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Level and format of log output."""

    level: str = "INFO"
    json: bool = False


class SchedulerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one scheduler process."""

    node: Name
    region: Name
    data_centre: Name
    peer_address: SocketAddress
    http_address: SocketAddress
    cell: CellSettings
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    log_output: LogOutputSettings = LogOutputSettings()


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one gateway process."""

    node: Name
    region: Name
    data_centre: Name
    http_address: SocketAddress
    cell: CellSettings
    platform: PlatformSettings
    queue_limit: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2_000
    routing: str = "default"
    timing: TimingSettings = TimingSettings()
    log_output: LogOutputSettings = LogOutputSettings()


class CommandSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the command line: the gateways to call and the team's token."""

    gateways: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    team: str = ""
    token: str = ""
    timeout_ms: Milliseconds = 10_000
