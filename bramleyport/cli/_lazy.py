"""Command groups that load the module of a command on first use.

Entries and agents must use little memory, so the main program doesn't import modules
that only operators' commands and benchmarks need.
"""

import importlib
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """Represent a command group whose lazy commands are given as `module:attribute`."""

    def __init__(
        self, *args: Any, lazy: Mapping[str, str] | None = None, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._lazy = dict(lazy or {})

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), *self._lazy])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, loading its module if necessary."""
        target = self._lazy.get(cmd_name)
        if target is None:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = target.partition(":")
        command: click.Command = getattr(importlib.import_module(module), attribute)
        return command
