"""A cell on one machine: stand-in targets, a launcher, a morning."""
