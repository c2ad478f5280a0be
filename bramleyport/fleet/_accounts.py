"""Find the client account of a request by its key."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NewType

from bramleyport.core import AccountId

ApiKey = NewType("ApiKey", str)

# Further keys of a configuration are not used: the index must fit into a small host.
MAX_KEYS: Final = 100_000
DIGEST_BYTES: Final = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """Describe a client account; its keys are left out of all representations."""

    name: AccountId
    keys: tuple[ApiKey, ...] = field(repr=False)
    # Goes before the priority of the route; None if the account has none.
    priority: int | None = None


class AccountIndex:
    """Map keys to the client accounts of one configuration.

    Keys are looked up by a digest with a secret of this process, so that neither the
    time of a look-up nor a dump of the index tells a caller how close a guess was.
    """

    def __init__(
        self, accounts: Iterable[ClientAccount], problems: Sequence[str] = ()
    ) -> None:
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._by_digest: dict[bytes, tuple[ApiKey, ClientAccount]] = {}
        # The priorities that accounts have, if any.
        self.priorities: set[int] = set()
        # Why accounts and keys of the configuration are not used.
        self.problems = list(problems)
        # Keys that two accounts hold, and that therefore name neither.
        shared: set[bytes] = set()
        unused = 0
        for account in accounts:
            if account.priority is not None:
                self.priorities.add(account.priority)
            for key in account.keys:
                unused += not self._add(key, account, shared)
        for digest in shared:
            del self._by_digest[digest]
        if unused:
            self.problems.append(f"{unused} keys are over the limit of {MAX_KEYS}")

    def __len__(self) -> int:
        return len(self._by_digest)

    def find(self, key: ApiKey) -> ClientAccount | None:
        """Return the account that holds a key, or None if none does."""
        found = self._by_digest.get(self._digest(key))
        if found is None:
            return None
        known, account = found
        is_same = hmac.compare_digest(_encode(known), _encode(key))
        return account if is_same else None

    def _add(self, key: ApiKey, account: ClientAccount, shared: set[bytes]) -> bool:
        """Add a key; return False if there are too many."""
        digest = self._digest(key)
        known = self._by_digest.get(digest)
        if known is None:
            if len(self._by_digest) >= MAX_KEYS:
                return False
            self._by_digest[digest] = (key, account)
        elif known[1].name != account.name:
            shared.add(digest)
            names = f"{known[1].name} and {account.name}"
            self.problems.append(f"one key is held by {names}")
        return True

    def _digest(self, key: ApiKey) -> bytes:
        return hashlib.blake2b(
            _encode(key), key=self._secret, digest_size=DIGEST_BYTES
        ).digest()


def _encode(key: ApiKey) -> bytes:
    return key.encode("utf-8", "surrogatepass")
