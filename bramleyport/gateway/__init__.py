"""Serve callers on the users' platform and forward their calls to upstreams."""
