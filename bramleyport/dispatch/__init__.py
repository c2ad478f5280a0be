"""Attempts of calls: choice, retry, race, prefill apart; import modules by name."""
