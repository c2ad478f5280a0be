"""Connections between entries and agents; import modules by name."""
