"""A proxy fleet for targets that fail partially: slowly, incompletely, or for some clients only."""

__version__ = "0.2.0"
