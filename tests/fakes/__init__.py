"""Fakes of the clock, the log and the channel between daemons."""
