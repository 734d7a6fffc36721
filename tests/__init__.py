"""Shared test support; the tests themselves stand beside the code they test and here."""
