"""The configuration script and its checks."""
