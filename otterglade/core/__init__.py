"""Everything that decides: no I/O, no clock, no threads, randomness only from a given seed."""
