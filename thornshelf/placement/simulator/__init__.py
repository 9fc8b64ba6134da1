"""The adapter between the simulator and the decision module.

The simulator sends batches of tab-separated lines on standard input and reads the actions on standard output.
Run it with ``python -m thornshelf.placement.simulator``. The package decides nothing: it decodes events, hands
them to one isolated placer for each simulated dispatcher, and encodes the actions that these return.
"""
