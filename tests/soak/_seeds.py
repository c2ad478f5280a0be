"""Seeds that failed once, each with its cause."""

FAILED_SEEDS = {
    7: "as 243; the excuse ended with the faults, the silence did not",
    110: "stopped before it listened: it may end by the signal",
    116: "as 110",
    117: "as 110",
    118: "as 110",
    243: "silent connections to the store, whose keep-alive probes the proxy answers",
}
