"""Load test of the scheduling of a whole site, in virtual time, without network or store."""
