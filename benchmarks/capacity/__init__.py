"""Capacity: cost of each role measured at several sizes, fitted, and extrapolated to the users' size."""
