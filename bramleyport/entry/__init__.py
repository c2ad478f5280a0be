"""The entry, which serves callers; import modules by name."""
