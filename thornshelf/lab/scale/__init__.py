"""The scale run: measures a few real dispatchers among many hollow nodes and dispatchers.

Its results are the cost curves of docs/CAPACITY.md.
"""
