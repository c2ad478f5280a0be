"""Decide when calls with a withheld trait are tried."""

from typing import Final

from bramleyport.fleet._traits import TraitId, is_request

# Time after which one call with a withheld trait is tried. It doubles after each trial.
FIRST_TRIAL_S: Final = 60.0
# The same for a request, of which few crashes are known.
FIRST_REQUEST_TRIAL_S: Final = 5.0
# Time between two trials of any traits, by all gateways: each may crash an upstream.
TRIAL_SPACING_S: Final = 5.0
# So many trials are made before the pause below.
MAX_TRIALS: Final = 3
LONG_PAUSE_S: Final = 4 * 3600.0


def choose_trial_interval(trait: TraitId, trials: int) -> float:
    """Return the time from a verdict, or its last trial, to the next trial."""
    if trials >= MAX_TRIALS:
        return LONG_PAUSE_S
    if trials == 0 and is_request(trait):
        return FIRST_REQUEST_TRIAL_S
    return FIRST_TRIAL_S * (1 << trials)
