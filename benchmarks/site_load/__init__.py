"""Load test of site-wide scheduling, in virtual time, without a network or a store."""
