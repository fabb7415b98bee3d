"""Compare policies of placement on a model of unlike jobs, in seconds of real time."""
