"""Scenarios that measure decisions against baselines and ideals."""
