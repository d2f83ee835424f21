"""Decision logic without sockets, clocks or threads."""
