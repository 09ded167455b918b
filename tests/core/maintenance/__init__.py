"""Tests of the upkeep of machines."""
