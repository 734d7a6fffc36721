"""Checks the packed encoding of Cap'n Proto before pycapnp reads it.

A packed message that ends early, within a word or before the end of a segment, makes pycapnp end
the process instead of raising an exception. Each word is packed as a tag, whose bits show which of
its bytes are not zero, and these bytes. The tag 0 is followed by the number of further zero words;
the tag 255 and its eight bytes by a number of words that are copied as they are. A message begins
with the number of its segments less one and the size of each in words, as 32-bit numbers.
"""

from collections.abc import Iterator
from itertools import islice

WORD_BYTES = 8
MAX_SEGMENTS = 64
MAX_WORDS = 65_536

_NONZERO_BYTES = tuple(tag.bit_count() for tag in range(256))


def check_packed(packed: bytes) -> None:
    """Checks that a packed message is complete and that nothing follows it.

    Args:
      packed: The message as received.
    Raises:
      ValueError: If it is not.
    """
    word_count = _count_words(packed)
    words = _iterate_words(packed)
    header = next(words, b"")
    segments = int.from_bytes(header[:4], "little") + 1
    if not header or segments > MAX_SEGMENTS:
        raise ValueError("the message is empty or has too many segments")
    header_words = segments // 2 + 1
    header += b"".join(islice(words, header_words - 1))
    sizes = (int.from_bytes(header[4 * n : 4 * n + 4], "little") for n in range(1, segments + 1))
    if header_words + sum(sizes) != word_count:
        raise ValueError("the message is shorter or longer than it states")


def _count_words(packed: bytes) -> int:
    """Returns the number of words of a packed message, which must end with a whole word."""
    place, words, size = 0, 0, len(packed)
    while place < size:
        tag = packed[place]
        place += 1 + _NONZERO_BYTES[tag]
        words += 1
        if tag == 0 or tag == 255:
            if place >= size:
                raise ValueError("the message ends within a run of words")
            words += packed[place]
            place += 1 + (packed[place] * WORD_BYTES if tag else 0)
        if words > MAX_WORDS:
            raise ValueError("the message is too long")
    if place > size:
        raise ValueError("the message ends within a word")
    return words


def _iterate_words(packed: bytes) -> Iterator[bytes]:
    place = 0
    while place < len(packed):
        tag = packed[place]
        place += 1
        word = bytearray(WORD_BYTES)
        for index in range(WORD_BYTES):
            if tag >> index & 1:
                word[index] = packed[place]
                place += 1
        yield bytes(word)
        if tag == 0:
            yield from (bytes(WORD_BYTES) for _ in range(packed[place]))
            place += 1
        elif tag == 255:
            start, place = place + 1, place + 1 + packed[place] * WORD_BYTES
            copied = packed[start:place]
            yield from (copied[n : n + WORD_BYTES] for n in range(0, len(copied), WORD_BYTES))
