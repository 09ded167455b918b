"""How much the connections of a process may use, and which of them to close first."""
