"""Identification of the prompt parts that requests share."""

import xxhash


def part_key(service: str, part: str) -> str:
    """Return a key that identifies a part and, by its start, the service."""
    service_key = xxhash.xxh3_64_hexdigest(service.encode())
    return service_key + xxhash.xxh3_64_hexdigest(part.encode())
