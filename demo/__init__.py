"""Demo that runs the cells of both example deployments on loopback."""
