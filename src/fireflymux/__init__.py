"""A router fleet that shares model capacity fairly among client accounts."""

__version__ = '0.1.0'
