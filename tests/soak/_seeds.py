"""Seeds that failed once, each with its cause."""

FAILED_SEEDS = {
    7: "as 243",
    110: "stopped before it listened: it may end by the signal",
    116: "as 110",
    117: "as 110",
    118: "as 110",
    243: "a watch on a silent connection to the store timed out after 9.5 s",
}
