"""Build the one file that ships: a zipapp of pure Python."""
