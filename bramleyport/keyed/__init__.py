"""Calls with idempotency keys and their claims; import modules by name."""
