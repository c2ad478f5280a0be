"""The entry process, which serves callers; import its modules by name."""
