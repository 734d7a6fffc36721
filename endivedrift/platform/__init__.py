"""Adapter of the users' platform: its wire names, formats and calls.

This package only translates. Routing, retries and ejection are decided in the other packages, which
know none of the platform's names.
"""
