"""The process beside each upstream: callers in, upstream out."""
