"""Types shared by all subsystems."""

import ipaddress
import typing

_MAX_PORT: typing.Final = 65_535


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
    if not (separator and port.isascii() and port.isdecimal()):
        raise ValueError(f'{text!r} is not of the form ip:port')
    ipaddress.ip_address(ip)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{text!r} has no port from 1 to {_MAX_PORT}')
    return Address(ip, int(port))
