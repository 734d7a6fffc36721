"""Versions of a store that may be restored from an older copy.

A restored store gives numbers out again. It counts its restorations; each begins an era. A number
of a later era is newer than every number of an earlier one. Both are held in one integer, so that
versions are compared and sent like plain numbers.
"""

ERA_SHIFT = 40
MAX_STORE_NUMBER = 2**ERA_SHIFT - 1
"""Greatest number of a transaction within an era."""
MAX_ERA = 2**20 - 1


def build_store_version(era: int, number: int) -> int:
    """Returns the version for the number of a transaction in an era."""
    return era << ERA_SHIFT | number


def get_store_era(version: int) -> int:
    """Returns the era of a version."""
    return version >> ERA_SHIFT


def get_store_number(version: int) -> int:
    """Returns the number of the transaction within its era."""
    return version & MAX_STORE_NUMBER
