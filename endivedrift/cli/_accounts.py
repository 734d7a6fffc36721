"""Command that prepares the keys of caller accounts for an object set."""

import sys

import typer

from endivedrift.cli._context import ExitStatus, fail
from endivedrift.objects import digest_account_key


def digest_key() -> None:
    """Reads an account key from standard input and prints its digest for `key_digests`.

    The key is not an argument, since arguments are visible to other processes.

    Example: endivedrift digest-key < key.txt

    Exit status: 0, 2 if the input is not one line of visible ASCII characters.
    """
    lines = sys.stdin.read().splitlines()
    key = lines[0] if len(lines) == 1 else ""
    if not key or not all("!" <= character <= "~" for character in key):
        fail(ExitStatus.FAULTY, "the key must be one line of visible ASCII characters")
    typer.echo(digest_account_key(key.encode("ascii")))
