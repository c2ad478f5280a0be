"""Close listening ports of servers."""

from bramleyport.listening._port import BACKLOG, close_port

__all__ = ["BACKLOG", "close_port"]
