"""Discovery: follows the list of nodes at its source."""
