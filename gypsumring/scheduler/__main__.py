"""Run ``python -m gypsumring.scheduler``."""

from gypsumring.utils.signals import hold_signals

# Imports take up to seconds on a slow VM, and a signal must not end the process.
hold_signals()

from gypsumring.scheduler.main import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="gypsumring-scheduler")
