"""Decision logic: no sockets, clocks or threads."""
