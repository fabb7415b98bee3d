"""Run ``python -m gypsumring.gateway``."""

from gypsumring.gateway.main import main

main(prog_name="gypsumring-gateway")
