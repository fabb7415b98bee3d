"""Gauges of the client accounts of a cell, bounded in number."""

import re
from collections import Counter
from collections.abc import Iterable

from gypsumring.cell.caps import CapLimiter
from gypsumring.cell.state import CellState
from gypsumring.pipelines import Step

__all__ = ["ACCOUNT_GAUGES", "measure_accounts"]

# Prefix of the gauges; those of an earlier list of accounts are discarded by it.
ACCOUNT_GAUGES = "cell.account."
# Accounts with gauges of their own, those with the highest weight. The sums of all
# others have the name ``others``.
MAX_ACCOUNTS = 24
MAX_NAME_CHARACTERS = 40
OTHERS = "others"


def measure_accounts(
    state: CellState, limiter: CapLimiter, waiting: Iterable[Step]
) -> dict[str, float]:
    """Return gauges by account; none in a deployment without accounts."""
    book = state.accounts
    if not book.is_active():
        return {}
    names = choose_names(state)
    waiting_steps = Counter(step.job.spec.account for step in waiting)
    blocked_steps = Counter(step.job.spec.account for step in limiter.blocked)
    gauges: Counter[str] = Counter()
    accounts = {*book.accounts, *state.usage, *waiting_steps} - {""}
    for account in accounts:
        prefix = ACCOUNT_GAUGES + names.get(account, OTHERS)
        held = state.usage.get(account)
        gauges[f"{prefix}.running_cpu_millis"] += held.cpu_millis
        gauges[f"{prefix}.running_memory_mb"] += held.memory_mb
        gauges[f"{prefix}.waiting_steps"] += waiting_steps[account]
        gauges[f"{prefix}.blocked_steps"] += blocked_steps[account]
        gauges[f"{prefix}.starts"] += book.starts[account]
        gauges[f"{prefix}.blocked_by_cap"] += book.blocks[account]
        if account in names:
            cap = book.accounts[account].cap
            gauges[f"{prefix}.cap_cpu_millis"] = cap.cpu_millis
            gauges[f"{prefix}.cap_memory_mb"] = cap.memory_mb
    return dict(gauges)


def choose_names(state: CellState) -> dict[str, str]:
    """Return the names in gauges of the accounts that have gauges of their own."""
    accounts = sorted(
        state.accounts.accounts.values(),
        key=lambda account: (-account.weight, account.name),
    )
    names: dict[str, str] = {}
    used = {OTHERS}
    for account in accounts:
        name = re.sub(r"[^a-z0-9_]", "_", account.name.lower())[:MAX_NAME_CHARACTERS]
        if name in used or len(names) >= MAX_ACCOUNTS:
            continue
        used.add(name)
        names[account.name] = name
    return names
