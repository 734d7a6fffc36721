"""Simple stand-ins for the platform, targets and callers, for tests, the demo and benchmarks."""
