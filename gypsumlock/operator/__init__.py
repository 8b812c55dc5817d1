"""The operator API."""

from gypsumlock.operator.app import OperatorApp
from gypsumlock.operator.changes import ChangeHandlers
from gypsumlock.operator.queries import QueryHandlers

__all__ = ["ChangeHandlers", "OperatorApp", "QueryHandlers"]
