"""The agent, the only path to its upstream; import modules by name."""
