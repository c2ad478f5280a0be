"""Choose prompts of which some crash each engine that answers them."""

from random import Random

PREFIX_COUNT = 5
SHARED_COUNT = 4
# Fraction of the prompts that have a deadly part, once there are such parts.
DEADLY_FRACTION = 0.1
DEADLY_PARTS = ("dead", "fade")


class Prompts:
    """Represent the prompts of all callers; they share their first parts."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.deadly_parts: tuple[str, ...] = ()

    def pick_deadly_part(self) -> str | None:
        """Return the deadly part of the next prompt, or None for a sound one."""
        if self.deadly_parts and self._random.random() < DEADLY_FRACTION:
            return self._random.choice(self.deadly_parts)
        return None

    def pick_headers(self, unique_part: str, deadly_part: str | None) -> dict[str, str]:
        """Return the headers of a prompt whose last part is unique."""
        parts = [f"a{self._random.randrange(PREFIX_COUNT)}:3000"]
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
