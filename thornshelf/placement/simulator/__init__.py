"""The adapter that connects the decision module to the simulator.

``python -m thornshelf.placement.simulator`` reads batches of tab-separated lines on standard input and writes actions
on standard output. It decodes events, passes them to an isolated placer for each simulated dispatcher, and encodes
the actions that the placers return.
"""
