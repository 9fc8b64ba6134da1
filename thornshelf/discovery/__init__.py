"""Service discovery: follows the endpoint list, the list of nodes, in the change log."""
