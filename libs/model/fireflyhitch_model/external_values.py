"""Checks of values that other programs wrote.

JSON and CBOR hold values that parse and break a later step: infinite numbers, integers
that no float holds, and text that cannot be encoded.
"""

import socket

# What parsing a malformed document raises.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Up to this a float holds each integer.
MAX_NUMBER = 9_007_199_254_740_992
# Of sums of such numbers, however many.
MAX_TOTAL = MAX_NUMBER**3
# Of hashes, and of counters that no sum is made of.
MAX_ID = 18_446_744_073_709_551_615
MAX_PORT = 65535
MILLISECONDS = 1000
ADDRESS_FAMILIES = (socket.AF_INET, socket.AF_INET6)


def check_number(value: object) -> float:
    """Return a number.

    :raises ValueError: if the value is none, or not within ``MAX_NUMBER``.
    """
    return check_range(check_total(value))


def check_total(value: object) -> float:
    """Return a sum of numbers.

    :raises ValueError: if the value is no number, or not within ``MAX_TOTAL``.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'not a number: {value!r:.40}')
    return check_range(value, MAX_TOTAL)


def check_range(number: float, most: int = MAX_NUMBER) -> float:
    """Return a number.

    :raises ValueError: if it is not within ``most``.
    """
    if not -most <= number <= most:
        raise ValueError('number out of range')
    return number


def check_count(value: object) -> int:
    """Return a number's whole part.

    :raises ValueError: if the value is no number, or negative.
    """
    count = int(check_number(value))
    if count < 0:
        raise ValueError(f'negative: {count}')
    return count


def check_text(value: object) -> str:
    """Return text that fits into a header line and can be encoded.

    :raises ValueError: if it contains other characters, or the value is no text.
    """
    if not isinstance(value, str) or not value.isprintable():
        raise ValueError(f'no printable text: {value!r:.40}')
    return value


def parse_number(value: object) -> float:
    """Return the number that a value is or, as text, contains.

    :raises ValueError: if it is none, or not within ``MAX_NUMBER``.
    :raises TypeError: if the value is neither.
    """
    return check_range(float(value))  # type: ignore[arg-type]


def parse_integer(value: object) -> int:
    """Return the integer that a value is, rounded down, or, as text, contains.

    :raises ValueError: if it is none, or not within ``MAX_NUMBER``.
    :raises TypeError: if the value is neither.
    """
    return int(check_range(_convert_integer(value)))


def parse_id(value: object) -> int:
    """Return the id that a value is or, as text, contains.

    :raises ValueError: if it is none, or not within 0 and ``MAX_ID``.
    :raises TypeError: if the value is neither.
    """
    number = _convert_integer(value)
    if not 0 <= number <= MAX_ID:
        raise ValueError('id out of range')
    return number


def _convert_integer(value: object) -> int:
    # A decimal number with a large exponent, which CBOR can hold, would take all memory.
    if not isinstance(value, int | float | str | bytes):
        raise TypeError(f'not an integer: {value!r:.40}')
    return int(value)


def parse_seconds(milliseconds: object) -> float:
    """Return a duration given in milliseconds, in seconds; errors as ``parse_number``."""
    return parse_number(milliseconds) / MILLISECONDS


def is_ip_address(text: str) -> bool:
    """Tell whether a text is an IP address rather than a name."""
    for family in ADDRESS_FAMILIES:
        try:
            socket.inet_pton(family, text)
        except (OSError, ValueError):
            continue
        return True
    return False
