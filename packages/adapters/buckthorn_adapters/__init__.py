"""Adapters behind the ports of buckthorn_core."""
