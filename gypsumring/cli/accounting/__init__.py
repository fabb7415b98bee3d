"""Break down the time and the attempts of jobs from the log lines of all nodes."""

from gypsumring.cli.accounting.histories import collect_histories
from gypsumring.cli.accounting.lines import read_log
from gypsumring.cli.accounting.summary import Account, summarize
from gypsumring.cli.accounting.tables import render_account

__all__ = [
    "Account",
    "collect_histories",
    "read_log",
    "render_account",
    "summarize",
]
