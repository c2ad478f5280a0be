"""Registries of interchangeable policies, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownPolicyError(LookupError):
    """Report a policy name that is not registered."""


class Registry(Generic[T]):
    """Map policy names to the factories registered under them."""

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self._factories: dict[str, Callable[..., T]] = {}

    def register(self, name: str) -> Callable[[Callable[..., T]], Callable[..., T]]:
        """Return a decorator that registers a factory under the name."""

        def add(factory: Callable[..., T]) -> Callable[..., T]:
            if name in self._factories:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return add

    def create(self, name: str, *args: object, **kwargs: object) -> T:
        """Create the policy registered under the name."""
        factory = self._factories.get(name)
        if factory is None:
            known = ", ".join(sorted(self._factories))
            raise UnknownPolicyError(
                f"no {self.subject} named {name!r}; known: {known}"
            )
        return factory(*args, **kwargs)

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._factories))

    def __contains__(self, name: object) -> bool:
        return name in self._factories
