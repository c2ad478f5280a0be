"""Serve language models and plain services on a fixed fleet."""

from typing import Final

__version__: Final = "0.1.0"
