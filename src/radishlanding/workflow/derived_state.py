"""Base classes of records with state that is derived from them."""


class DerivedState:
    """Hold what is derived from a record once, and is not part of it.

    A slot of a base class is no field of a dataclass, so that it is neither
    written to the store nor compared.
    """

    __slots__ = ("_derived",)

    def _known(self):
        """Return the derived state, None if there is none yet."""
        try:
            return self._derived
        except AttributeError:
            return None
