"""A proxy fleet for targets that fail partially: slow, incomplete, or failing for some hosts."""

__version__ = "0.2.0"
