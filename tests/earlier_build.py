"""The program of an earlier build, from the history of the repository."""

import io
import subprocess
import tarfile
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LANDED_COMMIT = "e67136090a3646220793ace118784e826e8d1e3d"
"""Commit of the last landing, which runs in production when an upgrade begins."""
PACKAGE = "endivedrift"


def extract_build(commit: str = LANDED_COMMIT) -> Path:
    """Extracts the program as of a commit.

    Returns:
      A new directory that holds the package.
    Raises:
      subprocess.CalledProcessError: If the history does not have the commit.
    """
    archive = subprocess.run(
        ["git", "archive", commit, PACKAGE], cwd=ROOT, check=True, capture_output=True
    )
    directory = Path(tempfile.mkdtemp(prefix="endivedrift-build-"))
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(directory, filter="data")
    return directory
