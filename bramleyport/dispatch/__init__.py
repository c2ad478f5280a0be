"""Dispatch of requests: routing, retries, hedging and split prefill.

The package exports nothing; import its modules by name.
"""
