"""A bare process of the control plane, without a data path, for the bench and for tests."""
