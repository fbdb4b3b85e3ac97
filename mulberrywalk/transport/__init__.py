"""Messages between processes and the channels that carry them."""
