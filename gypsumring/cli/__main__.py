"""Run the command line as a module."""

from gypsumring.cli.main import main

main()
