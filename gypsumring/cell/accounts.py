"""Client accounts of a cell, including accounts that left the desired state.

The last form of a removed account is kept until no job of it is left, so that its jobs
keep their cap and share. It is stored as a durable record, since a later owner cannot
read it anywhere else. The keys of accounts are not part of it.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from gypsumring.accounts import ClientAccount, RateMeter, Resources
from gypsumring.cell.journal import Journal
from gypsumring.pipelines import DesiredState, PipelineSpec, encode

__all__ = ["ACCOUNT_KEY", "AccountBook", "AccountRecord", "check_record"]

ACCOUNT_KEY = "a/"
# A new owner counts the jobs that were accepted within this time against the rates of
# their accounts; longer than the burst that an account may submit at once.
RECOUNT_MS = 5_000


class AccountRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Durable form of a client account that has jobs."""

    name: str
    weight: float = 1.0
    cap: Resources = Resources()


def check_record(record: AccountRecord) -> None:
    """Raise ValueError for numbers that no desired state may have."""
    cap = record.cap
    if not math.isfinite(record.weight) or record.weight < 0:
        raise ValueError(f"weight {record.weight}")
    if min(cap.cpu_millis, cap.memory_mb, cap.accelerators) < 0:
        raise ValueError("negative cap")


class AccountBook:
    """Client accounts by name, which stores the accounts in use."""

    __slots__ = (
        "accepting",
        "accounts",
        "applied_state",
        "caps",
        "desired_state",
        "journal",
        "list_used_names",
        "meter",
        "recorded",
    )

    def __init__(
        self,
        journal: Journal,
        desired_state: Callable[[], DesiredState | None],
        list_used_names: Callable[[], set[str]],
    ):
        self.journal = journal
        self.desired_state = desired_state
        # Returns the names of the accounts of all recorded jobs.
        self.list_used_names = list_used_names
        # Number of jobs whose records are being stored, by account.
        self.accepting: Counter[str] = Counter()
        # The desired state that was applied last.
        self.applied_state: DesiredState | None = None
        # The newest form of each account by name, and the form in the store.
        self.accounts: dict[str, ClientAccount] = {}
        self.recorded: dict[str, AccountRecord] = {}
        # Millicores, memory in MB and accelerators by the names of accounts that are
        # limited in any of them.
        self.caps: dict[str, tuple[int, int, int]] = {}
        self.meter = RateMeter()

    def restore(self, record: AccountRecord) -> None:
        """Restore the record of an earlier owner."""
        self.recorded[record.name] = record
        if record.name not in self.accounts:
            self.set_account(
                ClientAccount(name=record.name, weight=record.weight, cap=record.cap)
            )

    def is_active(self) -> bool:
        """Return whether the deployment has accounts, as far as is known."""
        self.refresh()
        if self.applied_state is None:
            return bool(self.recorded)
        return self.applied_state.accounts is not None

    def refresh(self) -> None:
        """Apply a new desired state and store the changed accounts that are in use."""
        desired = self.desired_state()
        if desired is None or desired is self.applied_state:
            return
        self.applied_state = desired
        if desired.accounts is None:
            return
        used = self.list_used_names() | self.accepting.keys() | self.recorded.keys()
        kept = {name: each for name, each in self.accounts.items() if name in used}
        self.accounts, self.caps = {}, {}
        for account in (*kept.values(), *desired.accounts):
            self.set_account(account)
        for name in used:
            self.record(name)

    def set_account(self, account: ClientAccount) -> None:
        """Use a form of an account from now on."""
        self.accounts[account.name] = account
        cap = account.cap
        self.caps.pop(account.name, None)
        if cap != Resources():
            self.caps[account.name] = (cap.cpu_millis, cap.memory_mb, cap.accelerators)

    def find(self, name: str) -> ClientAccount | None:
        """Return an account, or its last form if it was removed; None if unknown."""
        self.refresh()
        return self.accounts.get(name)

    def mark_rate(self, spec: PipelineSpec, now_ms: int) -> PipelineSpec:
        """Return a new job, marked if it exceeds the rate of its account.

        ``now_ms`` is a Unix time. Jobs of unknown accounts are not counted.
        """
        account = self.find(spec.account) if self.is_active() else None
        if account is None or not self.meter.record(account, now_ms):
            return spec
        return msgspec.structs.replace(spec, beyond_rate=True)

    def recount(self, specs: Iterable[PipelineSpec], now_ms: int) -> None:
        """Count the jobs that earlier owners have accepted within the last seconds."""
        recent = [
            spec
            for spec in specs
            if spec.account
            and not spec.beyond_rate
            and now_ms - RECOUNT_MS < spec.accepted_ms <= now_ms
        ]
        for spec in sorted(recent, key=lambda spec: spec.accepted_ms):
            account = self.find(spec.account)
            if account is not None:
                self.meter.record(account, spec.accepted_ms)

    def start_accepting(self, name: str) -> None:
        """Store the account of a job whose record is being stored."""
        self.refresh()
        self.accepting[name] += 1
        self.record(name)

    def finish_accepting(self, name: str) -> None:
        """Record that a job of an account is in the job table or was withdrawn."""
        self.accepting[name] -= 1
        if not self.accepting[name]:
            del self.accepting[name]

    def record(self, name: str) -> None:
        """Store the newest form of an account if the stored form differs."""
        account = self.accounts.get(name)
        if account is None:
            return
        record = AccountRecord(name=name, weight=account.weight, cap=account.cap)
        if self.recorded.get(name) != record:
            self.recorded[name] = record
            self.journal.put(ACCOUNT_KEY + name, encode(record))

    def delete_unused(self) -> None:
        """Delete the records of removed accounts that have no jobs left."""
        self.refresh()
        if self.applied_state is None or not self.recorded:
            return
        used = self.list_used_names() | self.accepting.keys()
        desired_names = {each.name for each in self.applied_state.accounts or ()}
        for name in self.recorded.keys() - used - desired_names:
            del self.recorded[name]
            self.accounts.pop(name, None)
            self.caps.pop(name, None)
            self.journal.put(ACCOUNT_KEY + name, b"")
