"""Run the background jobs of a process."""

from bramleyport.supervision._jobs import Job, supervise

__all__ = ["Job", "supervise"]
