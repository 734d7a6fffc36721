"""Tests across packages and shared test support; unit tests stand beside the code they test."""
