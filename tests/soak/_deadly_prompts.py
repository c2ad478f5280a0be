"""Choose prompts and bodies of which some crash each upstream that runs them."""

from random import Random

PREFIX_COUNT = 5
SHARED_COUNT = 4
# Fraction of the prompts that have a deadly part, once there are such parts.
DEADLY_FRACTION = 0.1
DEADLY_PARTS = ("dead", "fade")
# Parts that long prompts have besides.
LEAD_COUNTS = (31, 40, 300, 1_200)
# The body of the request on which upstreams crash, by the kind of its route.
DEADLY_BODIES = {kind: f"deadly {kind}" for kind in ("read", "post", "once", "stream")}
# Fractions of the calls that are this request, and a sound one that is repeated, too.
DEADLY_REQUEST_FRACTION = 0.05
POLL_FRACTION = 0.2


class Prompts:
    """Represent the prompts of all callers; they share their first parts."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.deadly_parts: tuple[str, ...] = ()
        # What all prompts have behind their first part.
        self.lead: list[str] = []

    def choose_lead(self, random: Random) -> None:
        """Choose how many parts all prompts have in common."""
        self.lead = [f"c{number}:10" for number in range(random.choice(LEAD_COUNTS))]

    def pick_deadly_part(self) -> str | None:
        """Return the deadly part of the next prompt, or None for a sound one."""
        if self.deadly_parts and self._random.random() < DEADLY_FRACTION:
            return self._random.choice(self.deadly_parts)
        return None

    def pick_body(self, kind: str, unique: str) -> str:
        """Return the body of the next request to a kind of route."""
        draw = self._random.random()
        if draw < DEADLY_REQUEST_FRACTION and kind in DEADLY_BODIES:
            return DEADLY_BODIES[kind]
        return "poll" if draw < POLL_FRACTION else unique

    def pick_headers(self, unique_part: str, deadly_part: str | None) -> dict[str, str]:
        """Return the headers of a prompt whose last part is unique."""
        prefix = self._random.randrange(PREFIX_COUNT)
        return self.make_headers(prefix, unique_part, deadly_part)

    def make_headers(
        self, prefix: int, unique_part: str, deadly_part: str | None = None
    ) -> dict[str, str]:
        """Return the headers of a prompt with a first part."""
        parts = [f"a{prefix}:3000", *self.lead]
        if deadly_part is not None:
            shared = f"b{self._random.randrange(SHARED_COUNT)}:400"
            parts += [shared, f"{deadly_part}:400"]
        elif self.deadly_parts:
            parts.append(f"b{self._random.randrange(SHARED_COUNT)}:400")
        parts.append(f"{unique_part}:1000")
        return {
            "Model": "m",
            "Token_Counts": "4000,10",
            "Prompt_Prefix": ",".join(parts),
        }
