"""Starts real daemons and test doubles, and calls them."""
