"""Build of the distribution: a single zipapp of pure Python."""
