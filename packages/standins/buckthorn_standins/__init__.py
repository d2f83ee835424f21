"""Stand-ins for the platform, and tools that measure against them."""
