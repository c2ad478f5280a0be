"""Decide whether a request may run, by the key of its client account."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from bramleyport.fleet._accounts import ApiKey, ClientAccount
from bramleyport.fleet._types import Call, Configuration, Route


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """Describe a request whose key no account holds, without the key."""

    # The request brought a single, non-empty key.
    has_key: bool


def authenticate(
    configuration: Configuration, route: Route, key: ApiKey | None
) -> Result[ClientAccount | None, UnknownKey]:
    """Return the account of a request; it has none where no account is needed."""
    if configuration.accounts is None:
        return Ok(None)
    account = None if key is None else configuration.accounts.find(key)
    if account is None and not route.anonymous:
        return Err(UnknownKey(has_key=key is not None))
    return Ok(account)


def may_still_run(configuration: Configuration, call: Call) -> bool:
    """Return whether the key of a call still names the account that it was taken for.

    A configuration that came while the call waited may have taken the key away.
    """
    if configuration.accounts is None:
        return True
    account = None if call.key is None else configuration.accounts.find(call.key)
    if call.account is None:
        return call.route.anonymous and call.has_accounts
    return account is not None and account.name == call.account.name


def renew_account(configuration: Configuration, call: Call) -> Result[Call, UnknownKey]:
    """Return a call under the account that its key names by a later configuration."""
    identified = authenticate(configuration, call.route, call.key)
    if isinstance(identified, Err):
        return identified
    account = identified.ok_value
    return Ok(
        replace(
            call,
            account=account,
            has_accounts=configuration.accounts is not None,
            rank=configuration.find_rank(call.route, account),
        )
    )
