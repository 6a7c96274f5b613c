"""Types shared by every subsystem."""

import typing


class Address(typing.NamedTuple):
    """A TCP address by IP number."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address written as `ip:port`; raise ValueError if not."""
    ip, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} is not of the form ip:port')
    return Address(ip, int(port))
