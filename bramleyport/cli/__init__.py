"""Command-line interface."""

from bramleyport.cli._main import main

__all__ = ["main"]
