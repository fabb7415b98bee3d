"""Randomised runs of one cell with tasks that crash their executors.

Run with ``python -m soak.deadly --seed N --seeds N --seconds N``.
"""

from soak.cells import make_command, run_deadly_soak

main = make_command(run_deadly_soak, seconds=20.0)

if __name__ == "__main__":
    main()
