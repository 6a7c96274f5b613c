"""Counts the bytes that a process keeps, and chooses which give way."""

import itertools
import typing

from nutmegtrail.byte_budget import const
from nutmegtrail.byte_budget import errors
from nutmegtrail.byte_budget import models


class Holding:
    """Bytes that are kept for one message; `close` frees them.

    `give_way` is called once if they have to be dropped for others, and must
    end the work that keeps them.
    """

    def __init__(
        self,
        budget: 'ByteBudget',
        kind: models.Kind,
        give_way: typing.Callable[[], None],
    ) -> None:
        """Initialize the holding without bytes."""
        self.kind = kind
        self.kept_bytes = 0
        self.since_seconds = 0.0
        self.has_given_way = False
        self.is_closed = False
        self._budget = budget
        self._give_way = give_way

    def grow(self, size_bytes: int) -> None:
        """Keep more bytes; raise GaveWay if these must be dropped."""
        self._budget.grow(self, size_bytes)

    def resize(self, size_bytes: int) -> None:
        """Keep so many bytes; raise GaveWay if these must be dropped."""
        self._budget.grow(self, size_bytes - self.kept_bytes)

    def change_kind(self, kind: models.Kind) -> None:
        """Let the bytes give way with those of another kind."""
        self._budget.change_kind(self, kind)

    def revoke(self) -> None:
        """Drop the bytes for the sake of others."""
        self.has_given_way = True
        self.close()
        self._give_way()

    def close(self) -> None:
        """Free the bytes; no others are kept from now on."""
        self.is_closed = True
        self._budget.release(self)


def _no_time() -> float:
    """Return the same time always, so that no holding is older."""
    return 0


class ByteBudget:
    """Limits the bytes that all connections of a process keep together.

    Each kind that can be dropped has an equal share of what running requests
    leave, and may use what the others leave. Above the limit, the first kind
    that exceeds its share gives way: the oldest of its large holdings, or
    the largest of equally old ones. One endless message so does not end many
    usual ones, nor a prompt message for one that is stuck.
    """

    def __init__(
        self,
        limit_bytes: float,
        clock: typing.Callable[[], float] = _no_time,
        *,
        has_shares: bool = True,
    ) -> None:
        """Initialize the budget without holdings.

        The clock returns seconds. Without shares, a kind gives way only once
        nothing is left of those before it.
        """
        self.limit_bytes = limit_bytes
        self.kept_bytes = 0
        self._has_shares = has_shares
        self.kept_bytes_by_kind = dict.fromkeys(models.Kind, 0)
        self._clock = clock
        # Sizes are powers of two, so that few holdings are compared.
        self._holdings_by_size: dict[
            models.Kind, dict[int, dict[Holding, None]]
        ] = {kind: {} for kind in models.Kind}

    def open(
        self, kind: models.Kind, give_way: typing.Callable[[], None]
    ) -> Holding:
        """Return a holding without bytes."""
        return Holding(self, kind, give_way)

    def grow(self, holding: Holding, size_bytes: int) -> None:
        """Count bytes of a holding; raise GaveWay if it must drop them.

        Nothing would free those that are counted after its close.
        """
        if holding.has_given_way:
            raise errors.GaveWay(f'dropped {holding.kind.name} before')
        if holding.is_closed and size_bytes > 0:
            raise errors.GaveWay(f'closed {holding.kind.name} before')
        if holding.is_closed or not size_bytes:
            return
        self._count(holding, size_bytes)
        if self.kept_bytes > self.limit_bytes or (
            holding.kind is models.Kind.RUNNING
        ):
            self._make_room(holding)

    def _make_room(self, holding: Holding) -> None:
        """Drop holdings above the limit; raise GaveWay if it is this one."""
        running_bytes = self.kept_bytes_by_kind[models.Kind.RUNNING]
        if (
            holding.kind is models.Kind.RUNNING
            and running_bytes > self.limit_bytes * const.RUNNING_RATIO
        ):
            self._drop(holding)
        while self.kept_bytes > self.limit_bytes:
            victim = self._choose()
            if victim is holding:
                self._drop(holding)
            victim.revoke()

    def change_kind(self, holding: Holding, kind: models.Kind) -> None:
        """Count the bytes of a holding as another kind."""
        is_kept = self._remove(holding)
        self.kept_bytes_by_kind[holding.kind] -= holding.kept_bytes
        self.kept_bytes_by_kind[kind] += holding.kept_bytes
        holding.kind = kind
        if is_kept:
            self._add(holding)

    def release(self, holding: Holding) -> None:
        """Free the bytes of a holding."""
        if self._remove(holding):
            self.kept_bytes -= holding.kept_bytes
            self.kept_bytes_by_kind[holding.kind] -= holding.kept_bytes
        holding.kept_bytes = 0

    def _count(self, holding: Holding, size_bytes: int) -> None:
        """Count more or fewer bytes of a holding."""
        size = holding.kept_bytes.bit_length()
        grown_bytes = holding.kept_bytes + size_bytes
        is_resorted = not holding.kept_bytes or size != grown_bytes.bit_length()
        if is_resorted and not self._remove(holding):
            holding.since_seconds = self._clock()
        holding.kept_bytes = grown_bytes
        self.kept_bytes += size_bytes
        self.kept_bytes_by_kind[holding.kind] += size_bytes
        if is_resorted:
            self._add(holding)

    def _add(self, holding: Holding) -> None:
        """Sort a holding in by its size."""
        by_size = self._holdings_by_size[holding.kind]
        size = holding.kept_bytes.bit_length()
        by_size.setdefault(size, {})[holding] = None

    def _remove(self, holding: Holding) -> bool:
        """Take a holding out; return whether it was sorted in."""
        by_size = self._holdings_by_size[holding.kind]
        size = holding.kept_bytes.bit_length()
        holdings = by_size.get(size, {})
        if holding not in holdings:
            return False
        holdings.pop(holding)
        if not holdings:
            by_size.pop(size)
        return True

    def _drop(self, holding: Holding) -> typing.NoReturn:
        """Free the bytes of the holding that grows."""
        holding.has_given_way = True
        self.release(holding)
        raise errors.GaveWay(
            f'{holding.kind.name} above {self.limit_bytes:.0f} bytes'
        )

    def _choose(self) -> Holding:
        """Return the holding that gives way."""
        running_bytes = self.kept_bytes_by_kind[models.Kind.RUNNING]
        share_bytes = 0.0
        if self._has_shares:
            share_bytes = (self.limit_bytes - running_bytes) / len(
                models.DROPPABLE_KINDS
            )
        kind = next(
            kind
            for kind in models.DROPPABLE_KINDS
            if self.kept_bytes_by_kind[kind] > share_bytes
        )
        by_size = self._holdings_by_size[kind]
        largest = by_size[max(by_size)]
        return max(
            itertools.islice(largest, const.COMPARED_HOLDINGS),
            key=lambda holding: (-holding.since_seconds, holding.kept_bytes),
        )


def limit_of_host(memory_bytes: float | None) -> float:
    """Return what a process may keep on a host, None if not known."""
    if memory_bytes is None:
        memory_bytes = const.DEFAULT_HOST_MEMORY_BYTES
    return memory_bytes * const.HOST_MEMORY_RATIO
