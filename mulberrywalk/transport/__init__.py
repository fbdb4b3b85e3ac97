"""Messages between processes and the gRPC channels that carry them."""
