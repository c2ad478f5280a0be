"""Serve callers on the users' platform and send their calls straight to upstreams."""
