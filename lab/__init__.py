"""Benchmarks and simulations; not part of the installed package."""
