"""Command line for teams and operators."""
