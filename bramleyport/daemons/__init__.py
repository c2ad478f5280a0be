"""Shells of the entry and the agent; import the role's module alone.

Each role imports only what it uses, because all libraries together exceed the memory
that one process may take.
"""
