"""Small stand-ins for the platform, targets and callers; used by tests, demo and measurements."""
