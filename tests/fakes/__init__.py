"""Fakes at the ports: time, the log, the channel between daemons."""
