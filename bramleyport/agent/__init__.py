"""The agent process, through which all work reaches one upstream.

The package exports nothing; import its modules by name.
"""
