"""The daemon that runs as a sidecar beside each upstream."""
