"""Run ``python -m gypsumring.node``."""

from gypsumring.node.main import main

main()
