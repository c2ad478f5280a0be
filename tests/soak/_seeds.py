"""List the seeds that have failed before, each with its cause."""

FAILED_SEEDS = {
    4: "a second SIGTERM after a stop gave exit code -15; with the profile stops",
    8: "a call was attributed to the next stop of its gateway; profile stops",
    101: "a process that waited 2.1 of 4 s for a processor was killed; profile stops",
    7: "same cause as seed 243",
    110: "a gateway got SIGTERM before it listened; it may be ended by the signal",
    116: "same cause as seed 110",
    117: "same cause as seed 110",
    118: "same cause as seed 110",
    717: "SIGHUP after a gateway had stopped ended it; with the profile mixed_limits",
    243: "a watch on a silent connection to the store timed out after 9.5 s",
    107: "same cause as seed 209",
    214: "same cause as seed 209",
    216: "same cause as seed 209",
    231: "same cause as seed 209",
    209: "gateways that started blamed parts of sound prompts; profile crashes",
    11: "updates compared revisions of two eras; profile restored, nine gateways",
    12: "same cause as seed 11",
    13: "same cause as seed 11",
}
