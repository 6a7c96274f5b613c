"""Types shared by all subsystems."""

import typing


class Address(typing.NamedTuple):
    """TCP address with an IP address instead of a host name."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address of the form `ip:port`; raise ValueError if invalid."""
    ip, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} is not of the form ip:port')
    return Address(ip, int(port))
