"""The daemon: wires the core to the adapters."""
