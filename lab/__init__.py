"""Measurements; never installed."""
