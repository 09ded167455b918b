"""Tests of machine maintenance waves."""
