"""Randomised runs of one cell with partitions that leases end in, and longer work.

Run with ``python -m soak.outlasting --seed N --seeds N --seconds N``.
"""

from soak.cells import make_command, run_partition_soak

main = make_command(run_partition_soak, seconds=30.0)

if __name__ == "__main__":
    main()
