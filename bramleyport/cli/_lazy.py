"""Load the modules of a command only when it is used.

The roles must stay small, so the main program must not import what only the operators'
commands and the benchmarks need.
"""

import importlib
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """Group commands that are named by module and attribute."""

    def __init__(
        self, *args: Any, lazy: Mapping[str, str] | None = None, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._lazy = dict(lazy or {})

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), *self._lazy])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command and load its module if needed."""
        target = self._lazy.get(cmd_name)
        if target is None:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = target.partition(":")
        command: click.Command = getattr(importlib.import_module(module), attribute)
        return command
