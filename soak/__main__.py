"""Command line of the randomised runs."""

import os
import sys

import click
import logbook
import msgspec

from soak.run import run_soak, steps_of

HIDDEN_FIELDS = {"violations", "fault_trace"}


@click.command()
@click.option("--seed", type=int, required=True, help="Seed of the run.")
@click.option("--seconds", type=float, required=True, help="Length of the run.")
@click.option("--verbose", is_flag=True, help="Print the log output of all nodes.")
def main(seed: int, seconds: float, verbose: bool) -> None:
    """Run a whole cell with random load and faults and check its invariants."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        raise click.UsageError("set PYTHONHASHSEED=0, so that a seed gives one trace")
    handler = logbook.StderrHandler() if verbose else logbook.NullHandler()
    with handler.applicationbound():
        result = run_soak(seed, steps_of(seconds))
    if result.violations:
        print(f"seed {seed} violates invariants; faults:")
        print("\n".join(result.fault_trace))
        print("violations:")
        print("\n".join(result.violations))
    fields = msgspec.to_builtins(result)
    shown = {k: v for k, v in fields.items() if k not in HIDDEN_FIELDS}
    print(f"trace hash {result.trace_hash}")
    print(msgspec.json.encode(shown).decode(), flush=True)
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    main()
