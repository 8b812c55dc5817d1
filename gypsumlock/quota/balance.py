"""Tokens that one node holds for one organisation, and when it asks for more.

Phases of a token: granted, then spent by a call, or expired. A token that was spent by
a call that was then refused without having run can be spent again until it expires.
What has expired unused is returned with the next request to the slot that granted it.

The load it is for: many organisations with less than one call per lifetime, for which
each call asks for one token; a few large ones, which fetch the expected demand of a
lifetime and ask ahead when half of it is left; organisations over their quota, which
ask only when a part is expected to have more.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from gypsumlock.quota.bucket import RETURN_WINDOW_S

__all__ = ["Balance", "Lot"]

# Time constant of the estimate of demand, in seconds.
DEMAND_TIME_CONSTANT_S = 0.5
# Share of the expected demand of a lifetime below which more is asked for ahead.
REFILL_SHARE = 0.5
# Time after which an exhausted part was expected to have more, and for which calls that
# get no token still count as over the quota, in seconds.
EXHAUSTED_MEMORY_S = 1.0
# Maximum number of returns that wait for a request to one slot.
MAX_RETURNS = 8


class Lot:
    """Tokens of one grant.

    Parameters
    ----------
    slot, token : int
        Slot that has granted them, and its fencing token.
    count : int
        Number of tokens.
    issued_ms : int
        Time of the grant by the clock of its holder.
    asked_at_s, expires_at_s : float
        When the tokens were asked for, and until when they may be spent.
    """

    __slots__ = (
        "asked_at_s",
        "count",
        "expires_at_s",
        "is_listed",
        "issued_ms",
        "slot",
        "token",
    )

    def __init__(
        self,
        slot: int,
        token: int,
        count: int,
        issued_ms: int,
        asked_at_s: float,
        expires_at_s: float,
    ) -> None:
        self.slot = slot
        self.token = token
        self.count = count
        self.issued_ms = issued_ms
        self.asked_at_s = asked_at_s
        self.expires_at_s = expires_at_s
        self.is_listed = False


class Balance:
    """Tokens of one organisation at one node.

    Parameters
    ----------
    slots : tuple[int, ...]
        Slots of the organisation's parts.
    """

    __slots__ = (
        "_demand_at_s",
        "_demand_per_s",
        "_exhausted_until_s",
        "_last_part",
        "_lots",
        "_returns",
        "asked",
        "granted_at_s",
        "slots",
    )

    def __init__(self, slots: tuple[int, ...]) -> None:
        self.slots = slots
        self._lots: deque[Lot] = deque()
        self._returns: dict[int, deque[Lot]] = {}
        self._demand_per_s = 0.0
        self._demand_at_s = 0.0
        # When each part that was exhausted is expected to have more, by slot.
        self._exhausted_until_s: dict[int, float] = {}
        self._last_part = 0
        # Tokens asked for and not answered yet, by slot.
        self.asked: dict[int, int] = {}
        # Time of the last grant; for the log.
        self.granted_at_s = float("-inf")

    def record_demand(self, now_s: float) -> None:
        """Record a call."""
        elapsed_s = max(0.0, now_s - self._demand_at_s)
        decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        self._demand_per_s = self._demand_per_s * decay + 1 / DEMAND_TIME_CONSTANT_S
        self._demand_at_s = now_s

    def add(self, lot: Lot, now_s: float) -> None:
        """Add the tokens of a grant."""
        self.granted_at_s = now_s
        if lot.count and lot.expires_at_s > now_s:
            self._lots.append(lot)
            lot.is_listed = True
        else:
            self._keep_for_return(lot)

    def spend(self, now_s: float) -> Lot | None:
        """Spend a token; return the lot that it is from, or None if there is none.

        Parameters
        ----------
        now_s : float
            The time, read immediately before.
        """
        while self._lots:
            lot = self._lots[0]
            if lot.count and lot.expires_at_s > now_s:
                lot.count -= 1
                return lot
            self._lots.popleft()
            lot.is_listed = False
            self._keep_for_return(lot)
        return None

    def refund(self, lot: Lot, now_s: float) -> None:
        """Take back the token of a call that was not sent to any upstream."""
        if lot.is_listed:
            lot.count += 1
            return
        # What the lot still held was kept for its return when it expired.
        refunded = Lot(
            lot.slot, lot.token, 1, lot.issued_ms, lot.asked_at_s, lot.expires_at_s
        )
        if lot.expires_at_s > now_s:
            refunded.is_listed = True
            self._lots.append(refunded)
        else:
            self._keep_for_return(refunded)

    def _keep_for_return(self, lot: Lot) -> None:
        if lot.count:
            returns = self._returns.setdefault(lot.slot, deque(maxlen=MAX_RETURNS))
            returns.append(lot)

    def take_returns(self, slot: int, token: int, now_s: float) -> list[Lot]:
        """Return the unused tokens that a slot should get back, and forget them."""
        returns = self._returns.pop(slot, ())
        return [
            lot
            for lot in returns
            if lot.token == token and now_s - lot.asked_at_s < RETURN_WINDOW_S
        ]

    def available(self, now_s: float) -> int:
        """Return the number of tokens that can be spent."""
        return sum(lot.count for lot in self._lots if lot.expires_at_s > now_s)

    def tokens_to_ask(self, waiting: int, lifetime_s: float, now_s: float) -> int:
        """Return how many tokens to ask for now.

        Parameters
        ----------
        waiting : int
            Number of calls that wait for a token.
        lifetime_s : float
            Lifetime of grants in seconds.
        now_s : float
            The time.
        """
        elapsed_s = max(0.0, now_s - self._demand_at_s)
        decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        expected = self._demand_per_s * decay * lifetime_s
        is_exhausted = any(x > now_s for x in self._exhausted_until_s.values())
        ahead = 0 if is_exhausted or self.asked else math.floor(expected)
        missing = waiting - sum(self.asked.values())
        if missing > 0:
            return missing + ahead
        if waiting or not ahead:
            return 0
        available = self.available(now_s)
        return ahead - available if available < REFILL_SHARE * expected else 0

    def next_part(
        self, is_reachable: Callable[[int], bool], now_s: float
    ) -> int | None:
        """Return the slot of the next part to ask, in turn, or None if there is none.

        Parameters
        ----------
        is_reachable : Callable[[int], bool]
            Whether the holder of a slot can be asked now.
        now_s : float
            The time.
        """
        count = len(self.slots)
        for offset in range(1, count + 1):
            index = (self._last_part + offset) % count
            slot = self.slots[index]
            if slot in self.asked or self._exhausted_until_s.get(slot, 0.0) > now_s:
                continue
            if is_reachable(slot):
                self._last_part = index
                return slot
        return None

    def record_exhausted(self, slot: int, until_s: float) -> None:
        """Record that a part has no more tokens until a time."""
        self._exhausted_until_s[slot] = until_s

    def record_available(self, slot: int) -> None:
        """Record that a part has granted all that was asked for."""
        self._exhausted_until_s.pop(slot, None)

    def is_exhausted(self, now_s: float) -> bool:
        """Return whether a part was found to be exhausted a short time ago."""
        recent_s = now_s - EXHAUSTED_MEMORY_S
        return any(self._exhausted_until_s.get(x, 0.0) > recent_s for x in self.slots)

    def more_at_s(self, now_s: float) -> list[float]:
        """Return when each exhausted part is expected to have more, in order."""
        times_s = [self._exhausted_until_s.get(slot, 0.0) for slot in self.slots]
        return sorted(time_s for time_s in times_s if time_s > now_s)
