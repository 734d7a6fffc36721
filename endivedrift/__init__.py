"""A proxy fleet for targets that fail partially: slow, incomplete, or sick for some observers."""

__version__ = "0.2.0"
