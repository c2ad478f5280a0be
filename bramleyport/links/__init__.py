"""Connections between entries and agents.

The package exports nothing; import its modules by name.
"""
