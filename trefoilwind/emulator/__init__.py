"""Emulator of backend servers, callers and nodes on a virtual clock.

It drives the functions that the node runs to decide about calls. It has no
processes, no store and no sockets.
"""
