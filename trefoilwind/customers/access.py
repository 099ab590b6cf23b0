"""Decision whether a request may run, and for which customer."""

from collections.abc import Callable
import dataclasses

from trefoilwind import errors
from trefoilwind.customers import keys as keys_lib
from trefoilwind.model import mesh


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request must not run.

    Attributes:
        reason: Cause.
        is_temporary: True if the same request may be accepted later.
    """

    reason: errors.Reason
    is_temporary: bool = False


_MISSING = Refusal(errors.Reason.KEY_MISSING)
_MALFORMED = Refusal(errors.Reason.KEY_MALFORMED)
_UNKNOWN = Refusal(errors.Reason.KEY_UNKNOWN)
_UNCONFIRMED = Refusal(errors.Reason.KEYS_UNCONFIRMED, is_temporary=True)


def check(
    table: keys_lib.KeyTable,
    key: bytes | None,
    is_public: bool,
    is_nested: bool,
    is_confirmed: bool,
) -> mesh.Customer | Refusal | None:
    """Return the customer of a request, a refusal, or None for no customer.

    A nested call needs no key; one that it carries must be valid like that of
    any other request.

    Args:
        table: Keys in force.
        key: Key of the request; empty if it has none, None if malformed.
        is_public: True if the route needs no key.
        is_nested: True if a running request waits for this one.
        is_confirmed: True if no key in force can have been withdrawn for
            longer than is allowed.
    """
    if is_public:
        return None
    if key is None:
        return _MALFORMED
    if not key:
        return None if is_nested else _MISSING
    if not is_confirmed:
        return _UNCONFIRMED
    return table.find(key) or _UNKNOWN


class Access:
    """Checks requests against the customers in force.

    Without customers in the configuration it accepts all requests.
    """

    def __init__(self, is_confirmed: Callable[[], bool] = lambda: True):
        """Initialize the state before the first configuration.

        Args:
            is_confirmed: Returns True if no key in force can have been
                withdrawn for longer than is allowed.
        """
        self._is_confirmed = is_confirmed
        self._customers: tuple[mesh.Customer, ...] = ()
        self._table: keys_lib.KeyTable | None = None

    @property
    def is_required(self) -> bool:
        """True if requests need a key, except on public routes."""
        return self._table is not None

    @property
    def is_confirmed(self) -> bool:
        """True if keyed requests are not refused for outdated keys."""
        return self._is_confirmed()

    def update(self, configuration: mesh.MeshConfiguration) -> None:
        """Put the customers of a configuration in force.

        Raises:
            ValueError: It has too many keys; nothing was changed.
        """
        if not configuration.has_customers:
            self._table = None
            self._customers = ()
            return
        # Most configurations change routes only.
        if self._table is None or configuration.customers != self._customers:
            self._table = keys_lib.KeyTable(configuration.customers)
            self._customers = configuration.customers

    def check(
        self, key: bytes | None, route: mesh.HostRoute, is_nested: bool
    ) -> mesh.Customer | Refusal | None:
        """Return the customer of a request, a refusal, or None.

        Args:
            key: Key of the request; empty if it has none, None if malformed.
            route: Route of the request.
            is_nested: True if a running request waits for this one.
        """
        if self._table is None:
            return None
        return check(
            self._table,
            key,
            route.is_public,
            is_nested,
            self._is_confirmed(),
        )
