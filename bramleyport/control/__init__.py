"""Control of pools under a lease; import modules by name."""
